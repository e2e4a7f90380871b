package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import martenloom.launcher.harness.EventStream;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.ShellAnswers;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The check of placements before they go live, and what it is for: a region goes dark - it says
 * nothing, its daemons and replicas with it - and every request in flight is completed once on the
 * survivors, or, where it may not be executed again, ends visibly after one execution. Counted by
 * attempt id at the stand-in replicas and at the clients.
 */
final class RegionLossTest {
    private static final String RESUMABLE_STREAM = "/r/stream";
    private static final String STREAM_ONCE = "/o/stream";
    private static final String IDEMPOTENT = "/safe/x";
    private static final String NON_IDEMPOTENT = "/once/x";
    private static final List<String> PATHS =
            List.of(RESUMABLE_STREAM, STREAM_ONCE, IDEMPOTENT, NON_IDEMPOTENT);

    private static final int REGIONS = 3;
    private static final int PROMPTS = 6;
    private static final int ROUNDS = 24;
    private static final int DOOMED_ROUNDS = 4;
    private static final int LAST_ROUNDS = 6;
    private static final int LEAST_STALLED = 6;
    private static final int DOOMED_FROM = 100;
    private static final int AFTER_LOSS_FROM = 200;
    private static final int LAST_FROM = 300;
    private static final int RETURN_ATTEMPTS = 400;
    private static final int ORDER_ATTEMPTS = 60;

    @TempDir private Path dir;

    // ---- placements

    private static void assertWouldRunNowhere(String answer) {
        assertTrue(answer.contains("model 'm' would run nowhere"), answer);
    }

    /** Unloads the model in two regions at once, of which one must win; gives that region. */
    private static String raceOfTwoUnloads(TestCluster cluster) {
        var north =
                CompletableFuture.supplyAsync(
                        () -> cluster.control().post(0, "/placements/north/m/unload"));
        var west =
                CompletableFuture.supplyAsync(
                        () -> cluster.control().post(1, "/placements/west/m/unload"));
        var both =
                Stream.of(north.join(), west.join())
                        .sorted(Comparator.comparingInt(HttpReply::status))
                        .toList();
        assertEquals(200, both.get(0).status());
        assertEquals(409, both.get(1).status());
        assertTrue(
                both.get(1)
                        .body()
                        .contains("model 'm' would run nowhere if region 'south' were lost"),
                both.get(1).body());
        return north.join().status() == 200 ? "north" : "west";
    }

    @Test
    void aPlacementThatStrandsAModelIsRejectedWithBothNamesAlsoWhenTwoHalvesRace() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-n", "model", 0)
                        .replica("i-s", "model", 1)
                        .replica("i-w", "model", 2)
                        .replica("i-p", "plain", 0)
                        .edges(0)
                        .start()) {
            var control = cluster.control();
            for (var core = 0; core < REGIONS; core++) {
                cluster.askUntil(cluster.core(core), "replicas", "i-w");
            }
            assertEquals(404, control.postUntilSettled("/placements/east/m/unload"));
            assertEquals(404, control.postUntilSettled("/placements/north/none/unload"));
            assertTrue(cluster.ask(cluster.core(0), "would north/m unload").startsWith("ok"));
            var unloaded = raceOfTwoUnloads(cluster);
            assertWouldRunNowhere(cluster.ask(cluster.core(0), "would south/m unload"));
            assertEquals(409, control.postUntilSettled("/placements/south/m/unload"));
            assertFalse(
                    cluster.ask(cluster.core(0), "scaling").contains("south/m"),
                    "nothing is kept of it");
            cluster.assertShown(cluster.edge(0), "scaling", unloaded + "/m desired 0 unloaded");
            assertNoNewPrompts(cluster, unloaded.equals("north") ? "seal-i-n" : "seal-i-w");
            cluster.stopHeartbeats(cluster.replica("i-s"));
            assertTrue(
                    cluster.askUntil(cluster.core(0), "exposure", "model 'm' would run nowhere")
                            .contains("were lost"),
                    "a crash is shown, not rejected");
            assertEquals(
                    200,
                    control.postUntilSettled("/placements/" + unloaded + "/m/load"),
                    "what mends is never rejected");
            cluster.assertShown(cluster.edge(0), "replicas", "i-n");
        }
    }

    private static void assertNoNewPrompts(TestCluster cluster, String seal) {
        for (var i = 0; i < PROMPTS; i++) {
            var reply = cluster.prompt(0, RESUMABLE_STREAM, "p" + i);
            assertEquals(200, reply.status());
            assertNotEquals(seal, reply.seal(), "what is unloaded gets no new prompts");
        }
    }

    // ---- a region goes dark

    private record Exchange(String attempt, String path, HttpReply reply) {
        boolean mayBeRepeated() {
            return path.equals(RESUMABLE_STREAM) || path.equals(IDEMPOTENT);
        }
    }

    private static Exchange exchange(TestCluster cluster, int edge, int number, String path) {
        var attempt = "e" + number + path.substring(1, 3);
        var prompt = path.endsWith("stream") ? Prompts.SMALL : "";
        return new Exchange(attempt, path, cluster.request(edge, path, attempt, prompt, "b"));
    }

    /** Requests of every kind in so many rounds, each round at the next of the edges. */
    private static List<CompletableFuture<Exchange>> load(
            TestCluster cluster, ExecutorService pool, int from, int rounds, int... edges) {
        var exchanges = new ArrayList<CompletableFuture<Exchange>>();
        for (var number : IntStream.range(from, from + rounds).toArray()) {
            var edge = edges[number % edges.length];
            for (var path : PATHS) {
                exchanges.add(
                        CompletableFuture.supplyAsync(
                                () -> exchange(cluster, edge, number, path), pool));
            }
        }
        return exchanges;
    }

    private static void judge(TestCluster cluster, Exchange exchange) {
        var attempt = exchange.attempt;
        var executions = cluster.executions(attempt);
        var reply = exchange.reply;
        switch (exchange.path) {
            case RESUMABLE_STREAM -> {
                assertTrue(
                        reply.complete() && reply.status() == 200, attempt + " " + reply.status());
                assertEquals(
                        EventStream.ALL_IDS,
                        EventStream.ids(reply.body()),
                        "once, complete and in order");
                assertTrue(
                        executions >= 1 && executions <= 2,
                        attempt + " was executed " + executions);
            }
            case IDEMPOTENT -> {
                assertEquals(200, reply.status(), attempt);
                assertEquals("done by plain for " + attempt, reply.body());
            }
            default -> judgeSingleExecution(attempt, executions, reply);
        }
    }

    private static void judgeSingleExecution(String attempt, int executions, HttpReply reply) {
        assertTrue(executions <= 1, attempt + " may be executed once and was " + executions);
        if (reply.status() == 200 && reply.complete()) {
            assertEquals(1, executions);
            return;
        }
        assertTrue(
                List.of(200, 502, 503, 504).contains(reply.status()),
                attempt + " ends visibly: " + reply.status());
        assertTrue(reply.status() != 503 || executions == 0, "a promise of no execution");
    }

    /** The number of the region to lose: that of the view's head, or another. */
    private static int regionToLose(TestCluster cluster, boolean headIsLost) {
        var head = ShellAnswers.viewHead(cluster.askUntil(cluster.core(0), "chain", "head 127"));
        if (!headIsLost) {
            return head.equals(cluster.core(2)) ? 1 : 2;
        }
        return IntStream.range(0, REGIONS)
                .filter(region -> head.equals(cluster.core(region)))
                .findFirst()
                .orElseThrow();
    }

    private static boolean isStalled(List<StandInReplica> dark, Exchange exchange) {
        return dark.stream().anyMatch(replica -> replica.stalled().contains(exchange.attempt));
    }

    private static void report(
            boolean headIsLost, List<Exchange> finished, List<StandInReplica> dark) {
        var caught = finished.stream().filter(exchange -> isStalled(dark, exchange)).toList();
        System.out.println(
                "region-dark head-lost "
                        + headIsLost
                        + ": requests "
                        + finished.size()
                        + ", in flight in the dark region "
                        + caught.size()
                        + ", of them repeatable and landed "
                        + caught.stream().filter(Exchange::mayBeRepeated).count());
    }

    private TestCluster startThreeRegions() {
        return TestCluster.in(dir)
                .replica("i-p0", "plain", 0)
                .replica("i-m0", "model", 0)
                .replica("i-p1", "plain", 1)
                .replica("i-m1", "model", 1)
                .replica("i-p2", "plain", 2)
                .replica("i-m2", "model", 2)
                .edges(0, 1, 2)
                .start();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatIsInFlightWhenARegionGoesDarkIsCompletedOnceOnSurvivors(boolean headIsLost) {
        try (var cluster = startThreeRegions()) {
            cluster.askUntil(cluster.edge(0), "replicas", "i-m2");
            cluster.askUntil(cluster.edge(1), "replicas", "i-m2");
            var lost = regionToLose(cluster, headIsLost);
            var left = new int[] {(lost + 1) % REGIONS, (lost + 2) % REGIONS};
            var pool = Executors.newCachedThreadPool();
            var dark =
                    cluster.replicas().stream()
                            .filter(replica -> replica.id().endsWith("" + lost))
                            .toList();
            dark.forEach(replica -> replica.fault(ReplicaFault.STALL));
            var sent = new ArrayList<>(load(cluster, pool, 0, ROUNDS, left));
            var doomed = load(cluster, pool, DOOMED_FROM, DOOMED_ROUNDS, lost);
            awaitStalled(dark);
            dark.forEach(cluster::stopHeartbeats);
            cluster.freeze(cluster.core(lost));
            cluster.freeze(cluster.edge(lost));
            sent.addAll(load(cluster, pool, AFTER_LOSS_FROM, ROUNDS, left));
            var finished = sent.stream().map(CompletableFuture::join).toList();
            finished.forEach(exchange -> judge(cluster, exchange));
            assertEquals(
                    finished.size(), finished.stream().map(Exchange::attempt).distinct().count());
            report(headIsLost, finished, dark);
            assertEquals(
                    200, replaceConfigurationAt(cluster, left), "the rest of the core goes on");
            dark.forEach(replica -> replica.fault(ReplicaFault.NONE));
            cluster.thaw(cluster.core(lost));
            cluster.thaw(cluster.edge(lost));
            dark.forEach(cluster::resumeHeartbeats);
            assertComesBack(cluster, lost);
            doomed.stream()
                    .map(CompletableFuture::join)
                    .forEach(exchange -> assertExecutedOnceAtMost(cluster, exchange));
            assertServesAgain(cluster, lost);
            load(cluster, pool, LAST_FROM, LAST_ROUNDS, left[0], left[1], lost).stream()
                    .map(CompletableFuture::join)
                    .forEach(exchange -> judge(cluster, exchange));
            pool.shutdownNow();
        }
    }

    private static void awaitStalled(List<StandInReplica> dark) {
        while (dark.stream().mapToInt(replica -> replica.stalled().size()).sum() < LEAST_STALLED) {
            Thread.onSpinWait();
        }
    }

    private static void assertComesBack(TestCluster cluster, int region) {
        assertTrue(
                cluster.askUntil(cluster.core(region), "configuration", "revision 5")
                        .contains("revision 5"),
                "the region comes back to what is in force");
    }

    private static void assertExecutedOnceAtMost(TestCluster cluster, Exchange exchange) {
        assertTrue(exchange.mayBeRepeated() || cluster.executions(exchange.attempt) <= 1);
    }

    private static void assertServesAgain(TestCluster cluster, int edge) {
        var inARow = 0;
        for (var i = 0; i < RETURN_ATTEMPTS && inARow < 2; i++) {
            var stream = cluster.prompt(edge, RESUMABLE_STREAM, "back" + i).status();
            var plain = cluster.request(edge, IDEMPOTENT, "again" + i).status();
            inARow = stream == 200 && plain == 200 ? inARow + 1 : 0;
        }
        assertEquals(2, inARow, "the edge that was dark serves again");
    }

    private static int replaceConfigurationAt(TestCluster cluster, int... cores) {
        var status = 0;
        for (var i = 0; i < ORDER_ATTEMPTS && status != 200; i++) {
            var core = cores[i % cores.length];
            status =
                    cluster.control()
                            .replaceConfiguration(core, 3, TestConfiguration.of(5))
                            .status();
        }
        return status;
    }
}
