package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestClusterBuilder;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A replica that warms up gets as many requests a second as its backend permits and no more, also
 * when many come at once.
 */
final class WarmupPermitTest {
    private static final int WARMUP_MS = 60_000;
    private static final int PERMITS_PER_S = 8;
    private static final int FEW_PERMITS_PER_S = 2;
    private static final int BURST_REQUESTS = 60;
    private static final int MOST_ROUNDS = 60;
    private static final int ENOUGH_SERVED = 6;
    private static final int BURST_TIMEOUT_S = 20;
    private static final double NS_PER_S = 1e9;

    @TempDir private Path dir;

    private TestClusterBuilder clusterWithWarmingReplica() {
        return TestCluster.in(dir)
                .replica("i-a", "plain", 0)
                .warmingReplica("i-cold", "model", 0, WARMUP_MS);
    }

    private static void assertWithinPermits(TestCluster cluster, long beganNs, int perSecond) {
        var seconds = (System.nanoTime() - beganNs) / NS_PER_S;
        var executions = cluster.replica("i-cold").totalExecutions();
        assertTrue(executions > 0, "it gets something");
        assertTrue(
                executions <= perSecond * (seconds + 1),
                executions + " in " + seconds + " s, " + perSecond + " a second allowed");
    }

    /** Guards against edges whose home lies in another region, which lends them no permits. */
    @Test
    void moreEdgesThanPermitsAreLentPermitsInTurn() throws Exception {
        var edges = new int[] {0, 3, 6, 9, 12, 15, 18};
        var configuration =
                TestConfiguration.of(3).replace("\"WarmupPerS\":8.0", "\"WarmupPerS\":2.0");
        try (var cluster =
                clusterWithWarmingReplica().edges(edges).configuration(configuration).start()) {
            for (var edge : edges) {
                cluster.assertShown(cluster.edge(edge), "counters", "edges 7");
            }
            var pool = Executors.newCachedThreadPool();
            var beganNs = System.nanoTime();
            var served = 0;
            for (var round = 0; round < MOST_ROUNDS && served < ENOUGH_SERVED; round++) {
                served += servedInOneRound(cluster, pool, edges, "lent" + round + "-");
            }
            pool.shutdownNow();
            assertTrue(served > 0, "it gets something");
            assertWithinPermits(cluster, beganNs, FEW_PERMITS_PER_S);
        }
    }

    /** Sends one prompt to each edge at once; gives how many were served. */
    private static int servedInOneRound(
            TestCluster cluster, ExecutorService pool, int[] edges, String prefix)
            throws ExecutionException, InterruptedException {
        var replies =
                Arrays.stream(edges)
                        .mapToObj(
                                edge ->
                                        pool.submit(
                                                () ->
                                                        cluster.prompt(
                                                                edge, "/r/stream", prefix + edge)))
                        .toList();
        var served = 0;
        for (var reply : replies) {
            served += reply.get().status() == 200 ? 1 : 0;
        }
        return served;
    }

    @Test
    void aWarmingReplicaGetsNoMoreThanItsPermitsHoweverManyRequestsComeAtOnce() throws Exception {
        try (var cluster = clusterWithWarmingReplica().edges(0, 1).start()) {
            cluster.askUntil(cluster.edge(0), "replicas", "i-cold");
            cluster.askUntil(cluster.edge(1), "replicas", "i-cold");
            var pool = Executors.newCachedThreadPool();
            var beganNs = System.nanoTime();
            for (var i = 0; i < BURST_REQUESTS; i++) {
                var number = i;
                pool.execute(() -> cluster.prompt(number % 2, "/r/stream", "cold" + number));
            }
            pool.shutdown();
            assertTrue(pool.awaitTermination(BURST_TIMEOUT_S, TimeUnit.SECONDS));
            assertWithinPermits(cluster, beganNs, PERMITS_PER_S);
        }
    }
}
