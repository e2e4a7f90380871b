package martenloom.simulation;

import java.util.Optional;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReplaceConfiguration;

/**
 * Reads the configuration, replaces it, and at times sends an order again that was acknowledged
 * long before.
 */
final class ConfigurationOperator {
    private static final long LONGEST_THOUGHT_US = 400_000;

    private final String name;
    private final Callers callers;
    private final Agenda agenda;
    private final Randomness random;
    private final ConfigurationHistory history;
    private int orders;
    private int stormLeft;

    ConfigurationOperator(
            String name,
            Callers callers,
            Agenda agenda,
            Randomness random,
            ConfigurationHistory history) {
        this.name = name;
        this.callers = callers;
        this.agenda = agenda;
        this.random = random;
        this.history = history;
    }

    void start() {
        read();
    }

    /** Sends so many configurations without a pause. */
    void storm(int count) {
        stormLeft = count;
    }

    private void read() {
        var floor = history.floor();
        callers.call(
                new ReadConfiguration(),
                answer -> {
                    if (answer.isPresent()) {
                        next(history.onRead(answer.get().status(), answer.get().text(), floor));
                    } else {
                        read();
                    }
                });
    }

    private void next(long revision) {
        if (stormLeft > 0) {
            stormLeft--;
            replace(revision);
            return;
        }
        agenda.after(
                random.between(0, LONGEST_THOUGHT_US),
                () -> {
                    if (random.oneIn(8) && !history.acknowledged().isEmpty()) {
                        sendAgain();
                    } else if (random.oneIn(3)) {
                        read();
                    } else {
                        replace(revision);
                    }
                });
    }

    private void replace(long base) {
        var revision = base + 1;
        var body =
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + name
                        + "-"
                        + ++orders
                        + "\"}";
        var order = new ConfigurationHistory.Order(base, revision, body);
        history.onSent(order);
        send(order);
    }

    /** An acknowledged order once more, and the very first one at times: none may be refused. */
    private void sendAgain() {
        var all = history.acknowledged();
        send(random.coin() ? all.get(0) : random.pick(all));
    }

    private void send(ConfigurationHistory.Order order) {
        var floor = history.floor();
        var change = new ReplaceConfiguration(order.base(), order.body());
        callers.call(change, answer -> onAnswer(order, floor, answer));
    }

    private void onAnswer(
            ConfigurationHistory.Order order, long floor, Optional<Callers.Answer> answer) {
        if (answer.isEmpty()) {
            read();
        } else if (answer.get().status() == 200) {
            history.onAcknowledged(order);
            next(Math.max(order.revision(), history.floor()));
        } else {
            history.onRefused(order, answer.get().status(), answer.get().text(), floor);
            read();
        }
    }
}
