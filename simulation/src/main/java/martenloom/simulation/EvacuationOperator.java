package martenloom.simulation;

import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.StartEvacuation;

/** Evacuates one zone and brings it back, again and again. */
final class EvacuationOperator {
    private static final long LONGEST_THOUGHT_US = 1_500_000;

    private final String zone;
    private final Callers callers;
    private final Agenda agenda;
    private final Randomness random;
    private final EvacuationHistory history;

    EvacuationOperator(
            String zone,
            Callers callers,
            Agenda agenda,
            Randomness random,
            EvacuationHistory history) {
        this.zone = zone;
        this.callers = callers;
        this.agenda = agenda;
        this.random = random;
        this.history = history;
    }

    void start() {
        order(true);
    }

    private void order(boolean evacuate) {
        var order = evacuate ? new StartEvacuation(zone) : new FinishEvacuation(zone);
        history.onSent(zone, evacuate);
        callers.call(
                order,
                answer -> {
                    if (answer.isEmpty()) {
                        history.onGivenUp(zone);
                    } else if (answer.get().status() == 200) {
                        history.onAcknowledged(zone, evacuate);
                    } else {
                        throw new Violation(
                                Invariant.OWN_ANSWER,
                                "an evacuation is answered with " + answer.get());
                    }
                    agenda.after(random.between(0, LONGEST_THOUGHT_US), () -> order(!evacuate));
                });
    }
}
