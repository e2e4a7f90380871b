package martenloom.simulation.workload;

import martenloom.core.state.ClusterState;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.EvacuationHistory;
import martenloom.simulation.history.Invariant;
import martenloom.simulation.history.InvariantViolation;

/** Evacuates one zone and brings it back, again and again. */
public final class EvacuationOperator {
    private static final long LONGEST_THOUGHT_US = 1_500_000;

    private final String zone;
    private final RetryingClient callers;
    private final EventQueue agenda;
    private final RandomStream random;
    private final EvacuationHistory history;

    public EvacuationOperator(
            String zone,
            RetryingClient callers,
            EventQueue agenda,
            RandomStream random,
            EvacuationHistory history) {
        this.zone = zone;
        this.callers = callers;
        this.agenda = agenda;
        this.random = random;
        this.history = history;
    }

    public void start() {
        order(true);
    }

    private void order(boolean evacuate) {
        var act = evacuate ? ClusterState.Act.EVAC_START : ClusterState.Act.EVAC_FINISH;
        history.onSent(zone, evacuate);
        callers.call(
                new ClusterState.Change(act, 0, zone, ""),
                answer -> {
                    if (answer.isEmpty()) {
                        history.onGivenUp(zone);
                    } else if (answer.get().status() == 200) {
                        history.onAcknowledged(zone, evacuate);
                    } else {
                        throw new InvariantViolation(
                                Invariant.OWN_ANSWER,
                                "an evacuation is answered with " + answer.get());
                    }
                    agenda.after(random.between(0, LONGEST_THOUGHT_US), () -> order(!evacuate));
                });
    }
}
