package martenloom.simulation.workload;

import martenloom.core.state.Command.ReadConfiguration;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.ConfigurationHistory;

/** A client that reads the configuration again and again, from any member. */
final class ConfigurationReader {
    private static final long LONGEST_PAUSE_US = 250_000;

    private final RetryingClient client;
    private final EventQueue events;
    private final RandomStream random;
    private final ConfigurationHistory history;

    ConfigurationReader(
            RetryingClient client,
            EventQueue events,
            RandomStream random,
            ConfigurationHistory history) {
        this.client = client;
        this.events = events;
        this.random = random;
        this.history = history;
    }

    void start() {
        read();
    }

    private void read() {
        var floor = history.floor();
        client.send(
                new ReadConfiguration(),
                reply -> {
                    reply.ifPresent(received -> history.onRead(received, floor));
                    events.after(random.between(0, LONGEST_PAUSE_US), this::read);
                });
    }
}
