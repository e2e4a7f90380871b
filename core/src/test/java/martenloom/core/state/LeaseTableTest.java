package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.core.state.Command.GrantLease;
import org.junit.jupiter.api.Test;

/** Grants of a role that are asked for again, and fencing tokens that are overtaken. */
final class LeaseTableTest {
    private static final String ROLE = "jobs/north";

    private ClusterState state = ClusterState.founded(List.of("10.0.0.1"));

    private ResultCode decide(GrantLease grant) {
        var result = state.decide(StampedCommand.of(grant));
        state = result.next().orElse(state);
        return result.code();
    }

    @Test
    void aGrantAskedForAgainIsTheSameAndALateCopyTakesNothingBack() {
        var first = new GrantLease(ROLE, 0, "x#1");
        assertEquals("1", state.decide(StampedCommand.of(first)).text());
        decide(first);
        var again = state.decide(StampedCommand.of(first));
        assertEquals(ResultCode.OK, again.code());
        assertEquals("1", again.text());
        assertTrue(again.next().isEmpty(), "nothing is written");
        assertEquals(ResultCode.OK, decide(new GrantLease(ROLE, 1, "y#1")));
        assertEquals(ResultCode.CONFLICT, decide(first), "the successor keeps the role");
        assertEquals(
                ResultCode.CONFLICT,
                decide(new GrantLease(ROLE, 1, "z#1")),
                "one token, one holder");
        var leases = state.leases();
        assertEquals(2, leases.byRole().get(ROLE).fencingToken());
        assertTrue(leases.isSuperseded(ROLE, 1), "word under the first grant is dropped");
        assertFalse(leases.isSuperseded(ROLE, 2) || leases.isSuperseded("jobs/south", 1));
        assertEquals("y#1", leases.byRole().get(ROLE).holder());
        assertTrue(leases.isHeldBy(ROLE, "y#1"));
        assertFalse(leases.isHeldBy(ROLE, "x#1") || leases.isHeldBy("jobs/south", ""));
        assertEquals(
                ResultCode.OK,
                decide(new GrantLease(ROLE, 2, "x#1")),
                "a former holder may be granted it anew");
        assertEquals(3, state.leases().byRole().get(ROLE).fencingToken());
    }
}
