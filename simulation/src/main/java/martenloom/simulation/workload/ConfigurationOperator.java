package martenloom.simulation.workload;

import java.util.Optional;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.CommandReply;
import martenloom.simulation.history.ConfigurationHistory;
import martenloom.simulation.history.ConfigurationHistory.Replacement;

/**
 * A client that reads the configuration, replaces it, and at times repeats a replacement that was
 * acknowledged long before.
 */
final class ConfigurationOperator {
    private static final long LONGEST_PAUSE_US = 400_000;
    private static final int REPEAT_ONE_IN = 8;
    private static final int READ_ONE_IN = 3;

    private final String name;
    private final RetryingClient client;
    private final EventQueue events;
    private final RandomStream random;
    private final ConfigurationHistory history;
    private int replacements;
    private int stormLeft;

    ConfigurationOperator(
            String name,
            RetryingClient client,
            EventQueue events,
            RandomStream random,
            ConfigurationHistory history) {
        this.name = name;
        this.client = client;
        this.events = events;
        this.random = random;
        this.history = history;
    }

    void start() {
        read();
    }

    /** Replaces the configuration so many times without a pause. */
    void storm(int count) {
        stormLeft = count;
    }

    private void read() {
        var floor = history.floor();
        client.send(
                new ReadConfiguration(),
                reply -> {
                    if (reply.isPresent()) {
                        goOn(history.onRead(reply.get(), floor));
                    } else {
                        read();
                    }
                });
    }

    /**
     * Chooses what to do next.
     *
     * @param revision the revision that this client takes to be in force
     */
    private void goOn(long revision) {
        if (stormLeft > 0) {
            stormLeft--;
            replace(revision);
            return;
        }
        events.after(
                random.between(0, LONGEST_PAUSE_US),
                () -> {
                    if (random.oneIn(REPEAT_ONE_IN) && !history.acknowledged().isEmpty()) {
                        repeat();
                    } else if (random.oneIn(READ_ONE_IN)) {
                        read();
                    } else {
                        replace(revision);
                    }
                });
    }

    private void replace(long base) {
        var revision = base + 1;
        var json =
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + name
                        + "-"
                        + ++replacements
                        + "\"}";
        var replacement = new Replacement(base, revision, json);
        history.onSent(replacement);
        send(replacement);
    }

    /** Sends an acknowledged replacement again, at times the very first: none may be rejected. */
    private void repeat() {
        var acknowledged = history.acknowledged();
        send(random.coin() ? acknowledged.get(0) : random.pick(acknowledged));
    }

    private void send(Replacement replacement) {
        var floor = history.floor();
        client.send(
                new ReplaceConfiguration(replacement.base(), replacement.json()),
                reply -> onReply(replacement, floor, reply));
    }

    private void onReply(Replacement replacement, long floor, Optional<CommandReply> reply) {
        if (reply.isEmpty()) {
            read();
        } else if (reply.get().isSuccess()) {
            history.onAcknowledged(replacement);
            goOn(Math.max(replacement.revision(), history.floor()));
        } else {
            history.onRejected(replacement, reply.get(), floor);
            read();
        }
    }
}
