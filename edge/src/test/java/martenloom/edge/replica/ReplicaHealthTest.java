package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Who fails too large a share is ejected, for twice as long each time up to a bound, and comes back
 * by degrees.
 */
final class ReplicaHealthTest {
    private static final long SECOND_US = 1_000_000;

    @Test
    void aShareOfFailuresIsEnoughAndAFewAreNot() {
        assertFalse(ReplicaHealth.exceedsFailureRate(0, 2));
        assertTrue(ReplicaHealth.exceedsFailureRate(6, 3));
        assertFalse(ReplicaHealth.exceedsFailureRate(20, 3));
        var health = new ReplicaHealth();
        for (var i = 0; i < 3; i++) {
            health.onOutcome(false, SECOND_US);
        }
        assertTrue(
                health.isOutlier(
                        health.successes(SECOND_US), health.failures(SECOND_US), SECOND_US));
        assertEquals(0, health.failures(9 * SECOND_US), "old outcomes are forgotten");
    }

    @Test
    void theEjectionTimeDoublesToABoundAndTheRecoveryIsGradual() {
        var health = new ReplicaHealth();
        var now = SECOND_US;
        var last = 0L;
        for (var i = 0; i < 5; i++) {
            assertTrue(health.isOutlier(0, 9, now));
            health.eject(now);
            var from = now;
            assertFalse(health.isOutlier(0, 9, now), "not twice for the same");
            while (health.state(now) == ReplicaHealth.State.EJECTED) {
                now += 10_000;
            }
            assertTrue(now - from >= last && now - from <= ReplicaHealth.MAX_EJECTION_US + 10_000);
            assertTrue(
                    i == 0
                            || now - from
                                    >= Math.min(
                                            ReplicaHealth.MAX_EJECTION_US, 2 * (last - 10_000)));
            last = now - from;
            assertEquals(ReplicaHealth.State.RECOVERING, health.state(now));
            assertTrue(
                    health.recoveryCostUs(now) > health.recoveryCostUs(now + SECOND_US),
                    "the cost wears off");
            assertFalse(health.isOutlier(0, 9, now), "what it did before is not held against it");
            now += 1_500_000;
        }
        assertEquals(ReplicaHealth.State.HEALTHY, health.state(now + 2 * SECOND_US));
        assertEquals(0, health.recoveryCostUs(now + 2 * SECOND_US));
    }
}
