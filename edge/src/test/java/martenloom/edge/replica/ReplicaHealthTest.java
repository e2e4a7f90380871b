package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Who fails too large a part is ejected, for twice as long each time up to a bound, and comes back
 * by degrees.
 */
final class ReplicaHealthTest {
    private static final long S = 1_000_000;

    @Test
    void aPartOfBadAnswersIsEnoughAndAFewAreNot() {
        assertFalse(ReplicaHealth.unfit(0, 2));
        assertTrue(ReplicaHealth.unfit(6, 3));
        assertFalse(ReplicaHealth.unfit(20, 3));
        var f = new ReplicaHealth();
        for (var i = 0; i < 3; i++) {
            f.answered(false, S);
        }
        assertTrue(f.judge(f.ok(S), f.bad(S), S));
        assertEquals(0, f.bad(9 * S), "old answers are forgotten");
    }

    @Test
    void theTimeAsideDoublesToABoundAndTheReturnIsGradual() {
        var f = new ReplicaHealth();
        var now = S;
        var last = 0L;
        for (var i = 0; i < 5; i++) {
            assertTrue(f.judge(0, 9, now));
            f.eject(now);
            var from = now;
            assertFalse(f.judge(0, 9, now), "not twice for the same");
            while (f.state(now) == ReplicaHealth.State.ASIDE) {
                now += 10_000;
            }
            assertTrue(now - from >= last && now - from <= ReplicaHealth.MOST_US + 10_000);
            assertTrue(
                    i == 0 || now - from >= Math.min(ReplicaHealth.MOST_US, 2 * (last - 10_000)));
            last = now - from;
            assertEquals(ReplicaHealth.State.RETURNING, f.state(now));
            assertTrue(f.costUs(now) > f.costUs(now + S), "the cost wears off");
            assertFalse(f.judge(0, 9, now), "what it did before is not held against it");
            now += 1_500_000;
        }
        assertEquals(ReplicaHealth.State.FIT, f.state(now + 2 * S));
        assertEquals(0, f.costUs(now + 2 * S));
    }
}
