package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** An edge among many sees each replica seldom: what was learned of its service counts first. */
final class LatencyPredictorTest {
    private static final int MANY_SAMPLES = 30;

    private final ReplicaTable replicaTable = ReplicaFixture.table();

    private void learn(ReplicaEndpoint replica, double tokensPerMs) {
        for (var i = 0; i < MANY_SAMPLES; i++) {
            replicaTable.learnPrefillRate(replica, tokensPerMs);
        }
    }

    private static double rate(ReplicaEndpoint replica) {
        return replica.latency().prefillTokensPerMs();
    }

    @Test
    void replicasSeldomSeenPrefillAtTheRateOfTheirService() {
        var replica = ReplicaFixture.replica(replicaTable, "replica");
        var other = ReplicaFixture.replica(replicaTable, "other");
        var first = rate(other);
        learn(replica, first * 2);
        assertTrue(rate(replica) > first * 1.9);
        assertTrue(rate(other) > first * 1.8, "it was never seen itself");
        var own = rate(replica);
        learn(other, first);
        assertEquals(own, rate(replica), "seen often enough itself");
        assertTrue(rate(other) < first * 2);
    }
}
