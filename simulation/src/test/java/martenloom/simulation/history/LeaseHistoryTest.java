package martenloom.simulation.history;

import static martenloom.simulation.history.Violations.assertBreaks;

import java.util.List;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command.GrantLease;
import org.junit.jupiter.api.Test;

/** Two holders at once, and fencing tokens that skip a number, are named. */
final class LeaseHistoryTest {
    private static final String ROLE = "k";

    private final LeaseHistory history = new LeaseHistory();
    private final CommittedState state = new CommittedState();

    @Test
    void twoHoldersAtOnceAreNamed() {
        history.onGranted(ROLE, "x", 1, 0, 10);
        history.onGranted(ROLE, "x", 1, 1_000_000, 1_000_010);
        assertBreaks(
                Invariant.FENCED_LEASE,
                () -> history.onGranted(ROLE, "y", 2, 2_000_000, 2_000_010));
        history.onGranted(ROLE, "y", 2, 4_000_000, 4_000_010);
    }

    @Test
    void aTokenThatRisesByMoreThanOneIsNamed() {
        var before = state.present();
        var granted = state.commit(new GrantLease(ROLE, 0, "x"));
        history.onNext(before, granted);
        var grantedTwice = state.commit(new GrantLease(ROLE, 1, "y"));
        assertBreaks(
                Invariant.FENCED_LEASE,
                () -> history.onNext(ClusterState.founded(List.of()), grantedTwice));
    }
}
