package martenloom.simulation.workload;

import martenloom.core.state.ClusterState;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.ConfigurationHistory;

/** Reads the configuration again and again, from any member. */
public final class ConfigurationReader {
    private static final long LONGEST_PAUSE_US = 250_000;

    private final RetryingClient callers;
    private final EventQueue agenda;
    private final RandomStream random;
    private final ConfigurationHistory history;

    public ConfigurationReader(
            RetryingClient callers,
            EventQueue agenda,
            RandomStream random,
            ConfigurationHistory history) {
        this.callers = callers;
        this.agenda = agenda;
        this.random = random;
        this.history = history;
    }

    public void start() {
        var floor = history.floor();
        callers.call(
                new ClusterState.Change(ClusterState.Act.READ, 0, "", ""),
                answer -> {
                    answer.ifPresent(a -> history.onRead(a.status(), a.text(), floor));
                    agenda.after(random.between(0, LONGEST_PAUSE_US), this::start);
                });
    }
}
