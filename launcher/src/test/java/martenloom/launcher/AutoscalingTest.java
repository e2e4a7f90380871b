package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.Executors;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The autoscaler as whole daemons: load summed over several edges, a lost lease holder, a core
 * without a majority, and one model scaled to zero and back.
 */
final class AutoscalingTest {
    private static final int FIRST_EDGE = 0;
    private static final int SECOND_EDGE = 3;
    private static final long HOLDER_TIMEOUT_NS = 25_000_000_000L;
    private static final int PROMPTS = 5;
    private static final int FIRST_EDGE_PROMPTS = 3;
    private static final int REQUESTS = 6;
    private static final int WAKE_ATTEMPTS = 40;
    private static final long LEASE_END_TIMEOUT_NS = 20_000_000_000L;
    private static final long WINDOW_MS = 9_000;

    @TempDir private Path dir;

    private TestCluster start(String scaling) {
        var cluster =
                TestCluster.in(dir)
                        .scaling(scaling)
                        .replica("i-p", "plain", 0)
                        .replicas("model", 0, "i-n", "i-n2")
                        .replica("i-s", "model", 1)
                        .replica("i-w", "model", 2)
                        .edges(FIRST_EDGE, SECOND_EDGE)
                        .start();
        cluster.askUntil(cluster.edge(FIRST_EDGE), "replicas", "i-w");
        cluster.askUntil(cluster.edge(SECOND_EDGE), "replicas", "i-w");
        return cluster;
    }

    private static int other(int edge) {
        return FIRST_EDGE + SECOND_EDGE - edge;
    }

    private static String scaling(TestCluster cluster, int edge) {
        return cluster.ask(cluster.edge(edge), "scaling");
    }

    private static String scalingUntil(TestCluster cluster, int edge, String sought) {
        return cluster.askUntil(cluster.edge(edge), "scaling", sought);
    }

    /** The one of these edges that holds the autoscaler's lease; -1 where none ever does. */
    private static int leaseHolder(TestCluster cluster, int... edges) {
        var endNs = System.nanoTime() + HOLDER_TIMEOUT_NS;
        for (var i = 0; System.nanoTime() < endNs; i++) {
            var edge = edges[i % edges.length];
            if (scaling(cluster, edge).contains("north/m in-flight")) {
                return edge;
            }
        }
        throw new AssertionError("no edge holds the autoscaler's lease");
    }

    @Test
    void loadOfAllEdgesIsSummedAndTheLossOfOneOrOfTheCoreIsSurvived() {
        try (var cluster = start("window=10,delay=3600")) {
            cluster.faultOfAll(ReplicaFault.STALL);
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < PROMPTS; i++) {
                var id = "s" + i;
                var edge = i < FIRST_EDGE_PROMPTS ? FIRST_EDGE : SECOND_EDGE;
                pool.execute(() -> cluster.prompt(edge, "/o/stream", id));
            }
            var holder = leaseHolder(cluster, FIRST_EDGE, SECOND_EDGE);
            var sum = scalingUntil(cluster, holder, "in-flight 5");
            assertTrue(sum.contains("north/m in-flight 5"), sum);
            assertTrue(sum.contains("grant 1"), sum);
            cluster.kill(cluster.edge(other(holder)));
            var left = "in-flight " + (holder == FIRST_EDGE ? FIRST_EDGE_PROMPTS : 2);
            assertTrue(
                    scalingUntil(cluster, holder, left).contains(left),
                    "a lost edge's load expires");
            cluster.startEdge(other(holder));
            cluster.awaitReady(other(holder));
            cluster.kill(cluster.edge(holder));
            var successor = leaseHolder(cluster, other(holder));
            assertEquals(other(holder), successor);
            assertTrue(
                    scaling(cluster, successor).contains("grant 2"),
                    "a successor has a newer fencing token");
            cluster.faultOfAll(ReplicaFault.NONE);
            assertServingWithoutAMajority(cluster, successor);
            pool.shutdownNow();
        }
    }

    private static void assertServingWithoutAMajority(TestCluster cluster, int edge) {
        cluster.kill(cluster.core(0));
        cluster.kill(cluster.core(1));
        var end = System.nanoTime() + LEASE_END_TIMEOUT_NS;
        while (scaling(cluster, edge).contains("in-flight") && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertEquals(
                "",
                scaling(cluster, edge),
                "without a majority there is no lease holder and no order");
        var reply = cluster.prompt(edge, "/r/stream", "after");
        assertEquals(200, reply.status(), "serving goes on");
    }

    private static long delayLeftMs(String scaling) {
        return Long.parseLong(
                scaling.replaceAll("(?s).*north/m [^\n]*delay-left (\\d+) ms.*", "$1"));
    }

    @Test
    void anAutoscalerKilledInItsDelayIsSucceededByOneThatBeginsItAnew() {
        try (var cluster = start("window=10,delay=3600")) {
            var holder = leaseHolder(cluster, FIRST_EDGE, SECOND_EDGE);
            var waiting = scalingUntil(cluster, holder, "phase WAITING");
            assertTrue(
                    waiting.contains("desired 2 running 2") && waiting.contains("phase WAITING"),
                    waiting);
            cluster.kill(cluster.edge(holder));
            var beforeMs = delayLeftMs(waiting);
            var successor = leaseHolder(cluster, other(holder));
            var first = scaling(cluster, successor);
            assertTrue(
                    first.contains("phase STEADY") && first.contains("desired 2"),
                    "a window of its own comes first: " + first);
            var again = scalingUntil(cluster, successor, "phase WAITING");
            assertTrue(again.contains("desired 2 running 2"), "it errs towards capacity: " + again);
            assertTrue(
                    delayLeftMs(again) > beforeMs - WINDOW_MS,
                    "the delay begins anew, though more than a window has gone by: "
                            + beforeMs
                            + ", "
                            + delayLeftMs(again));
        }
    }

    @Test
    void aModelIsScaledToZeroWhereItMayBeAndTheFirstPromptThatWaitsWakesIt() {
        try (var cluster = start("window=10,delay=0")) {
            var holder = leaseHolder(cluster, FIRST_EDGE, SECOND_EDGE);
            assertTrue(
                    scalingUntil(
                                    cluster,
                                    holder,
                                    "north/m in-flight 0 average 0.00 wanted 0 desired 1")
                            .contains("desired 1"),
                    scaling(cluster, holder));
            var asleep = scalingUntil(cluster, holder, "desired 0 running 0");
            assertTrue(asleep.contains("desired 0 running 0 registered 2"), asleep);
            var known = scalingUntil(cluster, other(holder), "north/m desired 0");
            assertTrue(known.contains("north/m desired 0"), "every edge knows: " + known);
            for (var i = 0; i < REQUESTS; i++) {
                var reply = cluster.prompt(0, "/r/stream", "away" + i);
                assertEquals(200, reply.status());
                assertTrue(
                        reply.seal().matches("seal-i-[sw]"), "what is asleep gets no new prompts");
            }
            var control = cluster.control();
            assertEquals(200, control.postUntilSettled("/evacuations/south-b/start"));
            assertEquals(200, control.postUntilSettled("/evacuations/west-c/start"));
            var woken = cluster.prompt(0, "/r/stream", "first");
            for (var i = 0; i < WAKE_ATTEMPTS && !woken.seal().startsWith("seal-i-n"); i++) {
                woken = cluster.prompt(0, "/r/stream", "first" + i);
            }
            assertTrue(woken.seal().startsWith("seal-i-n"), "a replica was woken");
            assertTrue(
                    cluster.askUntil(cluster.core(0), "exposure", "north")
                            .contains("model 'm' would run nowhere if region 'north' were lost"));
        }
    }
}
