package martenloom.simulation;

import martenloom.core.state.Command.ReadConfiguration;

/** Reads the configuration again and again, from any member. */
final class ConfigurationReader {
    private static final long LONGEST_PAUSE_US = 250_000;

    private final Callers callers;
    private final Agenda agenda;
    private final Randomness random;
    private final ConfigurationHistory history;

    ConfigurationReader(
            Callers callers, Agenda agenda, Randomness random, ConfigurationHistory history) {
        this.callers = callers;
        this.agenda = agenda;
        this.random = random;
        this.history = history;
    }

    void start() {
        var floor = history.floor();
        callers.call(
                new ReadConfiguration(),
                answer -> {
                    answer.ifPresent(a -> history.onRead(a.status(), a.text(), floor));
                    agenda.after(random.between(0, LONGEST_PAUSE_US), this::start);
                });
    }
}
