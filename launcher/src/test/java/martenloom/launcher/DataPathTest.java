package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The rules on time, on clients that leave, and on answers of odd shapes, from a client's socket to
 * a replica's.
 */
final class DataPathTest {
    private static final String MODEL =
            "X-Model: m\r\nX-Token-Usage: 10,40\r\nX-Prompt-Prefix: 5c1e07a2:4,91bd3f06:6\r\n";
    private static final int TIMEOUT_MS = 1000;
    private static final long HALF_SECOND_NS = 500_000_000L;
    private static TestCluster t;
    private static StandInReplica a;
    private static StandInReplica b;
    private static StandInReplica m1;
    private static StandInReplica m2;
    @TempDir static Path dir;

    @BeforeAll
    static void open() {
        t = new TestCluster(dir, 131, 3);
        a = t.replica("i-a", "plain", 0);
        b = t.replica("i-b", "plain", 0);
        m1 = t.replica("i-m1", "model", 0);
        m2 = t.replica("i-m2", "model", 0);
        t.startEdge(0);
        t.startEdge(1);
        assertEquals(
                503,
                t.request(1, "/safe/x", "early", "", "").status,
                "an edge that knows no configuration denies nothing");
        var quick =
                ","
                        + TestCluster.route(
                                "quick", "/quick/", "idempotent", "plain", 2, false, "", TIMEOUT_MS)
                        + ","
                        + TestCluster.route(
                                "quickonce",
                                "/quickonce/",
                                "non_idempotent",
                                "plain",
                                1,
                                false,
                                "",
                                TIMEOUT_MS)
                        + ","
                        + TestCluster.route(
                                "quickstream",
                                "/qs/",
                                "streaming",
                                "model",
                                1,
                                false,
                                "",
                                TIMEOUT_MS);
        assertEquals(
                200,
                t.order("POST /configuration/replace", "0", TestCluster.configuration(3, quick)));
        t.awaitReady(0, 1);
    }

    @AfterAll
    static void close() {
        t.close();
    }

    @BeforeEach
    void well() {
        all(StandInReplica.Mode.WELL);
        t.replicas.forEach(r -> r.resume = new CountDownLatch(1));
        t.askUntil(t.edge(0), "replicas", "i-m2");
    }

    private static void all(StandInReplica.Mode m) {
        t.replicas.forEach(r -> r.mode = m);
    }

    private static int ran(String attempt) {
        return t.replicas.stream().mapToInt(r -> r.ran(attempt)).sum();
    }

    /** The moment of what comes about first at any replica. */
    private static long first(String what) {
        var all = t.replicas.stream().map(r -> r.signal(what)).toArray(CompletableFuture[]::new);
        return (long) CompletableFuture.anyOf(all).orTimeout(15, TimeUnit.SECONDS).join();
    }

    private static List<Map<String, String>> sends(String attempt) {
        return t.replicas.stream()
                .flatMap(r -> r.sends.getOrDefault(attempt, List.of()).stream())
                .toList();
    }

    // ---- clients that leave

    private static void leavesWhileAReplicaWorks(
            StandInReplica.Mode mode, String path, String attempt, String behind)
            throws IOException {
        all(mode);
        try (var s = TestHttpClient.open(t.front(0))) {
            s.getOutputStream()
                    .write(
                            TestHttpClient.request(
                                    path, attempt, path.contains("stream") ? MODEL : "", "p"));
            s.getOutputStream().write(behind.getBytes());
            first("halted " + attempt);
            s.shutdownOutput();
            var left = System.nanoTime();
            assertTrue(first("left " + attempt) - left < HALF_SECOND_NS, mode + " " + path);
        }
        assertEquals(1, sends(attempt).size());
    }

    @Test
    void aClientThatLeavesEndsItsRunInEveryState() throws IOException {
        leavesWhileAReplicaWorks(StandInReplica.Mode.SILENT, "/safe/x", "g1", "");
        leavesWhileAReplicaWorks(StandInReplica.Mode.SILENT, "/once/x", "g2", "");
        leavesWhileAReplicaWorks(StandInReplica.Mode.SILENT, "/o/stream", "g3", "");
        leavesWhileAReplicaWorks(StandInReplica.Mode.STALL, "/o/stream", "g4", "");
        leavesWhileAReplicaWorks(StandInReplica.Mode.STALL, "/r/stream", "g5", "");
        leavesWhileAReplicaWorks(
                StandInReplica.Mode.SILENT,
                "/safe/x",
                "g6",
                new String(TestHttpClient.request("/safe/x", "g6next", "", "p")));
        leavesWhileAReplicaWorks(StandInReplica.Mode.FLOOD, "/o/stream", "g7", "");
        assertEquals(0, ran("g6next"));
    }

    @Test
    void whatAClientLeftIsNeverSent() throws IOException {
        all(StandInReplica.Mode.NOT_RUN);
        try (var s = TestHttpClient.open(t.front(0))) {
            s.getOutputStream().write(TestHttpClient.request("/safe/x", "w1", "", "p"));
            while (sends("w1").isEmpty()) {
                Thread.onSpinWait();
            }
        }
        t.askUntil(t.edge(0), "counters", "in-hand 0 ");
        var before = sends("w1").size();
        all(StandInReplica.Mode.WELL);
        for (var i = 0; i < 20; i++) {
            assertEquals(200, t.request(0, "/safe/x", "w2" + i, "", "").status);
        }
        assertEquals(before, sends("w1").size());
        assertEquals(0, ran("w1"));
    }

    // ---- time

    @Test
    void theTimeLeftIsCountedDownOnEverySend() throws IOException {
        a.mode = StandInReplica.Mode.RESET;
        b.mode = StandInReplica.Mode.RESET;
        var body = "x".repeat(2000);
        try (var s = TestHttpClient.open(t.front(0))) {
            var all = TestHttpClient.request("/safe/x", "b1", "", body);
            var began = System.nanoTime();
            s.getOutputStream().write(all, 0, all.length - 1000);
            while (System.nanoTime() - began < HALF_SECOND_NS) {
                t.ask(t.edge(0), "counters");
            }
            var passedMs = (System.nanoTime() - began) / 1_000_000 - 100;
            s.getOutputStream().write(all, all.length - 1000, 1000);
            TestHttpClient.read(new BufferedInputStream(s.getInputStream()));
            assertTrue(sends("b1").size() >= 2, "it was sent again");
            for (var f : sends("b1")) {
                var left = Long.parseLong(f.get("X-Time-Remaining"));
                var endsMs =
                        (Long.parseLong(f.get(StandInReplica.ARRIVED)) - began) / 1_000_000 + left;
                assertTrue(
                        left <= 8000 - passedMs + 1, left + " ms left after " + passedMs + " ms");
                assertTrue(
                        endsMs <= 8000 + 100, "it ends " + endsMs + " ms after the client began");
            }
        }
    }

    @Test
    void theTimeOfTheRouteCapsTheTimeLeft() {
        assertEquals(200, t.request(0, "/quick/x", "b2", "", "").status);
        assertTrue(Long.parseLong(sends("b2").get(0).get("X-Time-Remaining")) <= TIMEOUT_MS);
    }

    private static TestHttpClient.Reply timesOut(
            StandInReplica.Mode mode, String path, String attempt) {
        all(mode);
        var began = System.nanoTime();
        var r = t.request(0, path, attempt, path.contains("stream") ? MODEL : "", "");
        var took = System.nanoTime() - began;
        assertTrue(
                took < TIMEOUT_MS * 1_000_000L + HALF_SECOND_NS,
                mode + " " + path + " took " + took / 1_000_000 + " ms");
        return r;
    }

    @Test
    void atTheTimeoutThereIsAFinalAnswer() {
        assertEquals(504, timesOut(StandInReplica.Mode.SILENT, "/quick/x", "t1").status);
        assertEquals(504, timesOut(StandInReplica.Mode.SILENT, "/quickonce/x", "t2").status);
        assertEquals(504, timesOut(StandInReplica.Mode.SILENT, "/qs/stream", "t3").status);
        assertEquals(503, timesOut(StandInReplica.Mode.NOT_RUN, "/quickonce/x", "t4").status);
        var cut = timesOut(StandInReplica.Mode.STALL, "/qs/stream", "t5");
        assertEquals(200, cut.status);
        assertFalse(cut.whole);
        for (var id : List.of("t1", "t2", "t3", "t5")) {
            first("left " + id);
        }
    }

    @Test
    void aStreamToAClientThatDoesNotReadEndsAtTheTimeoutToo() throws IOException {
        all(StandInReplica.Mode.FLOOD);
        try (var s = TestHttpClient.open(t.front(0))) {
            var began = System.nanoTime();
            s.getOutputStream().write(TestHttpClient.request("/qs/stream", "t6", MODEL, ""));
            assertTrue(first("left t6") - began < TIMEOUT_MS * 1_000_000L + HALF_SECOND_NS);
            while (t.ask(t.edge(0), "counters").contains("connections 1 ")) {
                assertTrue(
                        System.nanoTime() - began < TIMEOUT_MS * 1_000_000L + HALF_SECOND_NS * 2,
                        "the client's connection is still open");
            }
            assertFalse(TestHttpClient.read(new BufferedInputStream(s.getInputStream())).whole);
        } catch (SocketException e) {
            assertTrue(
                    e.getMessage().contains("reset"),
                    "a reset is a visible cut: " + e.getMessage());
        }
    }

    // ---- answers of odd shapes

    @Test
    void anAnswerWithoutALengthIsWholeWhenItsConnectionEndsInOrder() {
        all(StandInReplica.Mode.UNFRAMED);
        for (var path : List.of("/safe/x", "/once/x")) {
            var r = t.request(0, path, "u1" + path.length(), "", "");
            assertEquals(200, r.status);
            assertEquals("done by plain for u1" + path.length(), r.body);
        }
        var s = t.request(0, "/o/stream", "u2", MODEL, "");
        assertTrue(s.whole);
        assertTrue(s.body.endsWith("data: piece 8\n\n"));
    }

    @Test
    void anAnswerWithoutALengthIsBrokenWhenItsConnectionIsReset() {
        t.replicas.forEach(r -> r.resume = new CountDownLatch(0));
        all(StandInReplica.Mode.UNFRAMED_RESET);
        assertEquals(502, t.request(0, "/once/x", "u3", "", "").status);
        assertEquals(1, ran("u3"));
        var s = t.request(0, "/o/stream", "u4", MODEL, "");
        assertFalse(s.status == 200 && s.whole);
    }

    @Test
    void theRestOfABodyThatWasAnsweredEarlyComesBeforeTheNextRequest() {
        a.mode = StandInReplica.Mode.EARLY;
        b.mode = StandInReplica.Mode.EARLY;
        var body = "y".repeat(99_000);
        assertEquals("early", t.request(0, "/once/x", "e1", "", body).body);
        var r = a.sends.containsKey("e1") ? a : b;
        r.mode = StandInReplica.Mode.WELL;
        var next = CompletableFuture.supplyAsync(() -> t.request(0, "/safe/x", "e2", "", body));
        r.resume.countDown();
        r.signal("read e1").orTimeout(15, TimeUnit.SECONDS).join();
        assertTrue(r.heads.get("e1").endsWith(" " + body));
        assertEquals(200, next.join().status);
    }

    @Test
    void anAnswerWithoutAnIdOnAUsedConnectionIsNobodys() {
        for (var i = 0; i < 6; i++) {
            assertEquals(200, t.request(0, "/safe/x", "n0" + i, "", "").status);
        }
        a.mode = StandInReplica.Mode.STRAY;
        b.mode = StandInReplica.Mode.STRAY;
        for (var i = 0; i < 6; i++) {
            var x = t.request(0, "/safe/x", "n1" + i, "", "");
            assertNotEquals("stale", x.body);
            var y = t.request(0, "/once/x", "n2" + i, "", "");
            assertNotEquals("stale", y.body);
            assertTrue(ran("n2" + i) <= 1);
        }
    }

    @Test
    void aReplicasOwn503IsNoPromiseForWhatItMayHaveRun() {
        all(StandInReplica.Mode.BUSY_AFTER_RUN);
        assertEquals(502, t.request(0, "/once/x", "p1", "", "").status);
        assertEquals(1, ran("p1"));
    }

    // ---- what a replica is handed

    @Test
    void everySendIsWhatTheClientSent() {
        var id = "";
        for (var i = 0; i < 20 && id.isEmpty(); i++) {
            m1.mode = i % 2 == 0 ? StandInReplica.Mode.CUT_STREAM : StandInReplica.Mode.WELL;
            m2.mode = i % 2 == 1 ? StandInReplica.Mode.CUT_STREAM : StandInReplica.Mode.WELL;
            t.request(
                    0,
                    "/r/stream?q=1&r=%20",
                    "q" + i,
                    MODEL + "X-Other: kept as it is\r\n",
                    "the body");
            id = sends("q" + i).size() == 2 ? "q" + i : "";
        }
        assertFalse(id.isEmpty(), "one was sent again");
        for (var f : sends(id)) {
            assertEquals("m", f.get("X-Model"));
            assertEquals("10,40", f.get("X-Token-Usage"));
            assertEquals("5c1e07a2:4,91bd3f06:6", f.get("X-Prompt-Prefix"));
            assertEquals("kept as it is", f.get("X-Other"));
        }
        for (var r : List.of(m1, m2)) {
            var seen = r.heads.get(id);
            assertTrue(
                    seen.startsWith("POST /r/stream?q=1&r=%20 HTTP/1.1 ")
                            && seen.endsWith(" the body"),
                    seen);
        }
        assertEquals(
                "3",
                sends(id).stream()
                        .map(f -> f.getOrDefault("Last-Event-Id", ""))
                        .max(Comparator.naturalOrder())
                        .get());
    }
}
