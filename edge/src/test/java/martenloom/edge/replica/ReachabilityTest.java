package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * When a replica is suspected: after failures of its own, and by the suspicions of other edges,
 * unless an edge of the zone hears it.
 */
final class ReachabilityTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long BACKOFF_US = 700_000;
    private static final long SAME_FAILURE_US = 1000;
    private static final long BETWEEN_FAILURES_US = 3_000_000;
    private static final long CALM_US = 20_000_000;
    private static final long PEER_TOTALS_VALID_US = 700_000;
    private static final int PEERS_IN_FLIGHT = 4;

    private final ReplicaTable table = ReplicaFixture.table();
    private final ReplicaEndpoint replica = ReplicaFixture.replica(table, "replica");
    private final Reachability reachability = replica.reachability();

    @Test
    void theBackoffDoublesToABoundAndIsForgotten() {
        var now = NOW_US;
        for (var factor : new int[] {1, 2, 4, 4, 4}) {
            reachability.onUnreachable(BACKOFF_US, now);
            reachability.onUnreachable(BACKOFF_US, now + SAME_FAILURE_US);
            assertEquals(
                    now + SAME_FAILURE_US + BACKOFF_US * factor,
                    reachability.suspectedUntilUs(),
                    "the same failure counts once");
            now += BETWEEN_FAILURES_US;
        }
        now += CALM_US;
        reachability.onUnreachable(BACKOFF_US, now);
        assertEquals(now + BACKOFF_US, reachability.suspectedUntilUs());
    }

    private void totals(int suspicions, int hearing) {
        table.peerTotalsAge().onReceived(NOW_US);
        replica.onPeerLoad(PEERS_IN_FLIGHT, 0);
        replica.onPeerSuspicions(suspicions, hearing);
    }

    @Test
    void aSuspicionCountsOnlyWhileNobodyOfTheZoneHearsTheReplica() {
        reachability.onHeard(0);
        totals(1, 0);
        assertTrue(reachability.peersSuspect(NOW_US));
        assertFalse(reachability.peersHear(NOW_US));
        totals(1, 2);
        assertFalse(reachability.peersSuspect(NOW_US), "one edge's silence is not the replica's");
        assertTrue(reachability.peersHear(NOW_US));
        assertFalse(
                reachability.peersHear(NOW_US + PEER_TOTALS_VALID_US), "old totals say nothing");
        totals(0, 0);
        assertFalse(reachability.peersSuspect(NOW_US));
    }
}
