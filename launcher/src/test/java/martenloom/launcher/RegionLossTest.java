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
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The check of placements before they go live, and what it is for: a region goes dark - it says
 * nothing, its daemons and replicas with it - and every request in flight lands once on the
 * survivors, or, where it may not run again, ends visibly after one run. Counted by id at the
 * stand-ins and at the clients.
 */
final class RegionLossTest {
    private static final String ENGINE = "X-Model: m\r\nX-Token-Usage: 10,40\r\n";
    @TempDir Path dir;

    private static String ids(String body) {
        return body.replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,");
    }

    @Test
    void aPlacementThatStrandsAModelIsRefusedWithBothNamesAlsoWhenTwoHalvesRace() {
        try (var t = new TestCluster(dir, 84, 3)) {
            t.replica("i-n", "model", 0);
            t.replica("i-s", "model", 1);
            t.replica("i-w", "model", 2);
            t.replica("i-p", "plain", 0);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.askUntil(t.core(0), "replicas", "i-w");
            t.askUntil(t.core(1), "replicas", "i-w");
            t.askUntil(t.core(2), "replicas", "i-w");
            assertEquals(404, t.order("POST /placements/east/m/unload", "", ""));
            assertEquals(404, t.order("POST /placements/north/none/unload", "", ""));
            assertTrue(t.ask(t.core(0), "would north/m unload").startsWith("ok"));
            var x =
                    CompletableFuture.supplyAsync(
                            () -> t.operator(0, "POST /placements/north/m/unload", "", ""));
            var y =
                    CompletableFuture.supplyAsync(
                            () -> t.operator(1, "POST /placements/west/m/unload", "", ""));
            var both =
                    Stream.of(x.join(), y.join())
                            .sorted(Comparator.comparingInt(r -> r.status))
                            .toList();
            assertEquals(200, both.get(0).status);
            assertEquals(409, both.get(1).status);
            assertTrue(
                    both.get(1)
                            .body
                            .contains("model 'm' would run nowhere if region 'south' were lost"),
                    both.get(1).body);
            var won = x.join().status == 200 ? "north" : "west";
            assertTrue(
                    t.ask(t.core(0), "would south/m unload")
                            .contains("model 'm' would run nowhere"));
            assertEquals(409, t.order("POST /placements/south/m/unload", "", ""));
            assertFalse(t.ask(t.core(0), "scaling").contains("south/m"), "nothing is kept of it");
            assertTrue(
                    t.askUntil(t.edge(0), "scaling", won + "/m desired 0 unloaded")
                            .contains("unloaded"));
            for (var i = 0; i < 6; i++) {
                var r = t.request(0, "/r/stream", "p" + i, ENGINE, "p");
                assertEquals(200, r.status);
                assertNotEquals(
                        won.equals("north") ? "seal-i-n" : "seal-i-w",
                        r.fields.get("X-Server-Seal"),
                        "what is unloaded gets no new prompts");
            }
            t.mute(t.replicas.get(1));
            assertTrue(
                    t.askUntil(t.core(0), "exposure", "model 'm' would run nowhere")
                            .contains("were lost"),
                    "a crash is shown, not refused");
            assertEquals(
                    200,
                    t.order("POST /placements/" + won + "/m/load", "", ""),
                    "what mends is never refused");
            assertTrue(t.askUntil(t.edge(0), "replicas", "i-n").contains("i-n"));
        }
    }

    private record Sent(String id, String kind, TestHttpClient.Reply reply) {}

    /** Requests of every kind at the surviving edges and at the one that is lost. */
    private static List<CompletableFuture<Sent>> load(
            TestCluster t, ExecutorService pool, int from, int n, int... edges) {
        var kinds = List.of("/r/stream", "/o/stream", "/safe/x", "/once/x");
        return IntStream.range(from, from + n)
                .boxed()
                .flatMap(
                        i ->
                                kinds.stream()
                                        .map(
                                                k ->
                                                        CompletableFuture.supplyAsync(
                                                                () -> {
                                                                    var id =
                                                                            "e"
                                                                                    + i
                                                                                    + k.charAt(1)
                                                                                    + k.charAt(2);
                                                                    return new Sent(
                                                                            id,
                                                                            k,
                                                                            t.request(
                                                                                    edges[
                                                                                            i
                                                                                                    % edges.length],
                                                                                    k,
                                                                                    id,
                                                                                    k.endsWith(
                                                                                                    "stream")
                                                                                            ? ENGINE
                                                                                            : "",
                                                                                    "b"));
                                                                },
                                                                pool)))
                .toList();
    }

    private static void judge(TestCluster t, Sent s) {
        var runs = t.replicas.stream().mapToInt(r -> r.ran(s.id)).sum();
        var r = s.reply;
        switch (s.kind) {
            case "/r/stream" -> {
                assertTrue(r.whole && r.status == 200, s.id + " " + r.status);
                assertEquals("1,2,3,4,5,6,7,8,", ids(r.body), "once, whole and in order");
                assertTrue(runs >= 1 && runs <= 2, s.id + " ran " + runs);
            }
            case "/safe/x" -> {
                assertEquals(200, r.status, s.id);
                assertEquals("done by plain for " + s.id, r.body);
            }
            default -> {
                assertTrue(runs <= 1, s.id + " may run once and ran " + runs);
                if (r.status == 200 && r.whole) {
                    assertEquals(1, runs);
                } else {
                    assertTrue(
                            r.status == 502
                                    || r.status == 504
                                    || r.status == 503
                                    || r.status == 200 && !r.whole,
                            s.id + " ends visibly: " + r.status);
                    assertTrue(r.status != 503 || runs == 0, "a promise that it has not run");
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatIsInFlightWhenARegionGoesDarkLandsOnceOnSurvivors(boolean headIsLost)
            throws Exception {
        try (var t = new TestCluster(dir, headIsLost ? 86 : 85, 3)) {
            for (var h = 0; h < 3; h++) {
                t.replica("i-p" + h, "plain", h);
                t.replica("i-m" + h, "model", h);
            }
            t.startEdge(0);
            t.startEdge(1);
            t.startEdge(2);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1, 2);
            t.askUntil(t.edge(0), "replicas", "i-m2");
            t.askUntil(t.edge(1), "replicas", "i-m2");
            var head =
                    t.askUntil(t.core(0), "chain", "head 127")
                            .replaceAll("(?s).*head (\\S+) .*", "$1");
            var lost =
                    headIsLost
                            ? Integer.parseInt(head.substring(head.lastIndexOf('.') + 1)) - 10
                            : head.equals(t.core(2)) ? 1 : 2;
            var a = (lost + 1) % 3;
            var b = (lost + 2) % 3;
            var pool = Executors.newCachedThreadPool();
            var dark = t.replicas.stream().filter(r -> r.id.endsWith("" + lost)).toList();
            dark.forEach(r -> r.mode = StandInReplica.Mode.STALL);
            var sent = new ArrayList<>(load(t, pool, 0, 24, a, b));
            var doomed = load(t, pool, 100, 4, lost);
            while (dark.stream().mapToInt(r -> r.stalled.size()).sum() < 6) {
                Thread.onSpinWait();
            }
            dark.forEach(t::mute);
            t.freeze(t.core(lost));
            t.freeze(t.edge(lost));
            sent.addAll(load(t, pool, 200, 24, a, b));
            var over = sent.stream().map(CompletableFuture::join).toList();
            over.forEach(s -> judge(t, s));
            var caught =
                    over.stream()
                            .filter(s -> dark.stream().anyMatch(r -> r.stalled.contains(s.id)))
                            .toList();
            assertEquals(over.size(), over.stream().map(Sent::id).distinct().count());
            var moved =
                    caught.stream()
                            .filter(s -> s.kind.equals("/r/stream") || s.kind.equals("/safe/x"))
                            .count();
            System.out.println(
                    "region-dark head-lost "
                            + headIsLost
                            + ": requests "
                            + over.size()
                            + ", in flight in the dark region "
                            + caught.size()
                            + ", of them repeatable and landed "
                            + moved);
            assertEquals(200, orderAt(t, "3", 5, a, b), "the rest of the core goes on");
            dark.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            t.thaw(t.core(lost));
            t.thaw(t.edge(lost));
            dark.forEach(t::unmute);
            assertTrue(
                    t.askUntil(t.core(lost), "configuration", "revision 5").contains("revision 5"),
                    "the region comes back to what is in force");
            doomed.forEach(
                    f -> {
                        var s = f.join();
                        assertTrue(
                                s.kind.equals("/r/stream")
                                        || s.kind.equals("/safe/x")
                                        || t.replicas.stream().mapToInt(r -> r.ran(s.id)).sum()
                                                <= 1);
                    });
            var serves = 0;
            for (var i = 0; i < 400 && serves < 2; i++) {
                serves =
                        t.request(lost, "/r/stream", "back" + i, ENGINE, "p").status
                                                + t.request(lost, "/safe/x", "again" + i, "", "")
                                                        .status
                                        == 400
                                ? serves + 1
                                : 0;
            }
            assertEquals(2, serves, "the edge that was dark serves again");
            load(t, pool, 300, 6, a, b, lost).stream()
                    .map(CompletableFuture::join)
                    .forEach(s -> judge(t, s));
            pool.shutdownNow();
        }
    }

    private static int orderAt(TestCluster t, String base, int rev, int... cores) {
        var status = 0;
        for (var i = 0; i < 60 && status != 200; i++) {
            status =
                    t.operator(
                                    cores[i % cores.length],
                                    "POST /configuration/replace",
                                    base,
                                    TestCluster.configuration(rev, ""))
                            .status;
        }
        return status;
    }
}
