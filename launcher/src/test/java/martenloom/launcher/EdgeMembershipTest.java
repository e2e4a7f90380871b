package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.ShellAnswers;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestClusterBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The edges as members of the cluster: lookups that list them, role leases, overload reports, and
 * what they do without the core.
 */
final class EdgeMembershipTest {
    private static final int CORES = 3;
    private static final int LARGE_PROMPTS = 12;
    private static final int LARGE_PROMPT_TOKENS = 30_000;
    private static final int SMALL_PROMPTS = 6;
    private static final int EXECUTION_MS = 1_200;
    private static final int SHUTDOWN_TIMEOUT_S = 10;
    private static final String SELECTED = "(?s).*considered [1-9].*selected [1-9].*";
    private static final String MODEL_ROLE = "north/m";

    @TempDir private Path dir;

    private TestClusterBuilder plainAndModel() {
        return TestCluster.in(dir).replica("i-a", "plain", 0).replica("i-m", "model", 0);
    }

    private static void killCores(TestCluster cluster) {
        for (var i = 0; i < CORES; i++) {
            cluster.kill(cluster.core(i));
        }
    }

    private static void assertLookup(TestCluster cluster, int core, String query, int edge) {
        assertEquals(
                "{\"Addresses\":[\"" + cluster.front(edge) + "\"],\"TtlS\":4.0}",
                cluster.control().get(core, "/lookup?Name=cluster.example&" + query).body());
    }

    @Test
    void lookupListsReadyEdgesNearbyAndEdgesServeWithoutTheCore() {
        try (var cluster = plainAndModel().edges(0, 1).start()) {
            cluster.askUntil(cluster.core(1), "members", cluster.edge(1) + " edge1 south-b ready");
            assertLookup(cluster, 1, "Region=south&Zone=south-b", 1);
            killCores(cluster);
            assertEquals(200, cluster.request(0, "/safe/x", "n1").status());
            assertEquals(200, cluster.request(1, "/safe/x", "n2").status());
            cluster.stopHeartbeats(cluster.replica("i-a"));
            cluster.kill(cluster.edge(0));
            cluster.kill(cluster.edge(1));
            for (var i = 0; i < CORES; i++) {
                cluster.startCore(i);
            }
            cluster.startEdge(0);
            cluster.awaitReady(0);
            assertTrue(
                    cluster.ask(cluster.edge(0), "counters").contains("edges 2"),
                    "shares are divided by the most edges ever known");
            assertEquals(
                    200,
                    cluster.request(0, "/safe/x", "n3").status(),
                    "a replica is remembered without a new heartbeat");
        }
    }

    @Test
    void anOverloadedRegionIsReportedToTheOtherEdges() {
        try (var cluster = plainAndModel().edges(0, 1).start()) {
            cluster.assertShown(cluster.edge(0), "leases", "north/m grant 1");
            cluster.replica("i-m").fault(ReplicaFault.SILENT);
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < LARGE_PROMPTS; i++) {
                var id = "big" + i;
                var prompt =
                        Prompts.ofTokens(
                                LARGE_PROMPT_TOKENS, "aa" + id + ":" + LARGE_PROMPT_TOKENS);
                pool.execute(() -> cluster.request(0, "/o/stream", id, prompt, "p"));
            }
            var report = cluster.askUntil(cluster.edge(1), "overload", "north/m ACTIVE");
            assertTrue(
                    report.contains("north/m ACTIVE")
                            && report.contains("reporter " + cluster.edge(0))
                            && report.contains("sequence 1.")
                            && report.contains("algorithm loss"),
                    report);
            for (var i = 0; i < SMALL_PROMPTS; i++) {
                var id = "away" + i;
                pool.execute(() -> cluster.prompt(1, "/r/stream", id));
            }
            var selected =
                    cluster.askUntil(
                            cluster.edge(1), "overload", answer -> answer.matches(SELECTED));
            assertTrue(selected.matches(SELECTED), selected);
            pool.shutdownNow();
        }
    }

    @Test
    void aRoleLeaseHasOneHolderAndASuccessorWithAHigherFencingToken() {
        try (var cluster = plainAndModel().edges(0, 3).start()) {
            var leases = cluster.askUntil(cluster.core(0), "leases", "north/m grant 1");
            var holder = ShellAnswers.leaseHolder(leases, MODEL_ROLE);
            var other = holder.equals(cluster.edge(0)) ? cluster.edge(3) : cluster.edge(0);
            cluster.assertShown(holder, "leases", "north/m grant 1");
            assertFalse(
                    cluster.ask(other, "leases").contains(MODEL_ROLE),
                    "the other candidate has no lease");
            cluster.kill(holder);
            cluster.assertShown(other, "leases", "north/m grant 2");
            killCores(cluster);
            assertTrue(
                    cluster.askUntil(other, "leases", "left 0 ms").contains("left 0 ms"),
                    "without the core the lease ends");
        }
    }

    @Test
    void anEdgeThatShutsDownFinishesWhatIsInFlightAndIsListedNoMore() throws Exception {
        try (var cluster = plainAndModel().edges(0, 3).start()) {
            cluster.askUntil(cluster.core(0), "members", cluster.edge(3) + " edge3 north-a ready");
            cluster.replica("i-a").executionMs(EXECUTION_MS);
            var inFlight =
                    CompletableFuture.supplyAsync(() -> cluster.request(0, "/once/x", "inhand"));
            cluster.askUntil(cluster.edge(0), "counters", "in-hand 1");
            var shutdown = CompletableFuture.runAsync(cluster.edgeDaemon(0)::shutDown);
            cluster.askUntil(cluster.core(0), "members", "leaving");
            assertLookup(cluster, 0, "Region=north&Zone=north-a", 3);
            assertEquals(200, inFlight.join().status());
            assertEquals(503, cluster.readiness(0));
            shutdown.get(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
