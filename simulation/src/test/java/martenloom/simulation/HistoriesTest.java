package martenloom.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.StartEvacuation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** The histories of calls let through what must be, and name what must not. */
final class HistoriesTest {
    private static final String ZONE = "north-1";
    private final ConfigurationHistory configurations = new ConfigurationHistory();
    private final EvacuationHistory evacuations = new EvacuationHistory();
    private final LeaseHistory leases = new LeaseHistory();
    private ClusterState state = ClusterState.founded(List.of("a"));

    private static void breaks(Invariant invariant, Executable step) {
        assertEquals(invariant, assertThrows(Violation.class, step).invariant());
    }

    private static ConfigurationHistory.Order order(long base, String note) {
        var revision = base + 1;
        var body =
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + note
                        + "\"}";
        return new ConfigurationHistory.Order(base, revision, body);
    }

    private void commit(Command command) {
        state = state.decide(state.accepted(command)).next().orElseThrow();
    }

    private void commit(ConfigurationHistory.Order order) {
        commit(new ReplaceConfiguration(order.base(), order.body()));
        configurations.onCommitted(state);
    }

    @Test
    void aReadBelowTheFloorIsNotLinearizable() {
        var first = order(0, "a");
        var second = order(1, "b");
        configurations.onSent(first);
        configurations.onSent(second);
        commit(first);
        configurations.onAcknowledged(first);
        commit(second);
        assertEquals(1, configurations.onRead(200, first.body(), 1), "the second is not known yet");
        configurations.onAcknowledged(second);
        breaks(Invariant.LINEARIZABLE, () -> configurations.onRead(200, first.body(), 2));
        breaks(Invariant.LINEARIZABLE, () -> configurations.onRead(404, "", 2));
        breaks(Invariant.OWN_ANSWER, () -> configurations.onRead(200, "{}", 2));
    }

    @Test
    void whatWasTakenIsNotRefusedAndWhatWasNotIsNotAcknowledged() {
        var taken = order(0, "a");
        var loser = order(0, "b");
        configurations.onSent(taken);
        configurations.onSent(loser);
        commit(taken);
        breaks(Invariant.OWN_ANSWER, () -> configurations.onAcknowledged(loser));
        configurations.onRefused(loser, 412, "revision 1 is in place", 0);
        breaks(
                Invariant.REPEATABLE_ORDER,
                () -> configurations.onRefused(taken, 412, "revision 1 is in place", 0));
        breaks(
                Invariant.LINEARIZABLE,
                () -> configurations.onRefused(loser, 412, "revision 1 is in place", 2));
    }

    @Test
    void aCopyThatUndoesAnAcknowledgedOrderIsNamed() {
        evacuations.onSent(ZONE, true);
        commit(new StartEvacuation(ZONE));
        evacuations.onCommitted(state);
        evacuations.onAcknowledged(ZONE, true);
        evacuations.onSent(ZONE, false);
        commit(new FinishEvacuation(ZONE));
        evacuations.onCommitted(state);
        evacuations.onAcknowledged(ZONE, false);
        commit(new StartEvacuation(ZONE));
        breaks(Invariant.NO_STALE_ORDER, () -> evacuations.onCommitted(state));
    }

    @Test
    void twoHoldersAtOnceAndARaisedGrantAreNamed() {
        leases.onGranted("k", "x", 1, 0, 10);
        leases.onGranted("k", "x", 1, 1_000_000, 1_000_010);
        breaks(Invariant.FENCED_LEASE, () -> leases.onGranted("k", "y", 2, 2_000_000, 2_000_010));
        leases.onGranted("k", "y", 2, 4_000_000, 4_000_010);
        var before = state;
        commit(new GrantLease("k", 0, "x"));
        leases.onNext(before, state);
        breaks(
                Invariant.FENCED_LEASE,
                () -> leases.onNext(ClusterState.founded(List.of()), twice()));
    }

    private ClusterState twice() {
        commit(new GrantLease("k", 1, "y"));
        return state;
    }
}
