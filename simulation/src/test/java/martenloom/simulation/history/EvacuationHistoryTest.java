package martenloom.simulation.history;

import static martenloom.simulation.history.Violations.assertBreaks;

import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.StartEvacuation;
import org.junit.jupiter.api.Test;

/** An acknowledged command must not be undone by a copy of an older one. */
final class EvacuationHistoryTest {
    private static final String ZONE = "north-1";

    private final EvacuationHistory history = new EvacuationHistory();
    private final CommittedState state = new CommittedState();

    @Test
    void aCopyThatUndoesAnAcknowledgedCommandIsNamed() {
        history.onSent(ZONE, true);
        history.onCommitted(state.commit(new StartEvacuation(ZONE)));
        history.onAcknowledged(ZONE);
        history.onSent(ZONE, false);
        history.onCommitted(state.commit(new FinishEvacuation(ZONE)));
        history.onAcknowledged(ZONE);
        var undone = state.commit(new StartEvacuation(ZONE));
        assertBreaks(Invariant.NO_STALE_ORDER, () -> history.onCommitted(undone));
    }
}
