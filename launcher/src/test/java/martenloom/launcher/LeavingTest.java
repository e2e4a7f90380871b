package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import martenloom.edge.EdgeDaemon;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An edge after its SIGTERM, and requests in hand while the configuration changes. */
final class LeavingTest {
    private static final String MODEL = "X-Model: m\r\nX-Token-Usage: 10,40\r\n";

    /** Past the half of the grace period, from when on less is taken. */
    private static final long LATE_NS = 2_550_000_000L;

    /** When it begins to look for a moment at which it holds nothing. */
    private static final long FREE_NS = 3_350_000_000L;

    private TestCluster t;
    private StandInReplica plain;
    private StandInReplica model;
    private StandInReplica other;
    private EdgeDaemon edge;
    @TempDir Path dir;

    @BeforeEach
    void open() {
        t = new TestCluster(dir, 132, 3);
        plain = t.replica("i-a", "plain", 0);
        model = t.replica("i-m", "model", 0);
        other = t.replica("i-o", "model", 0);
        edge = t.startEdge(0);
        t.startEdge(1);
        assertEquals(
                200,
                t.order(
                        "POST /configuration/replace",
                        "0",
                        TestCluster.configuration(
                                3,
                                ","
                                        + TestCluster.route(
                                                "quick",
                                                "/quick/",
                                                "idempotent",
                                                "plain",
                                                2,
                                                false,
                                                "",
                                                1000))));
        t.awaitReady(0, 1);
        assertTrue(t.request(0, "/o/stream", "first", MODEL, "").whole);
    }

    @AfterEach
    void close() {
        t.close();
    }

    private static BufferedInputStream ask(java.net.Socket s, byte[] request) throws IOException {
        s.getOutputStream().write(request);
        return new BufferedInputStream(s.getInputStream());
    }

    private void halted(String attempt) {
        var all =
                t.replicas.stream()
                        .map(r -> r.signal("halted " + attempt))
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.anyOf(all).orTimeout(10, TimeUnit.SECONDS).join();
    }

    private void models(StandInReplica.Mode m) {
        model.mode = m;
        other.mode = m;
    }

    private void resume() {
        t.replicas.forEach(r -> r.resume.countDown());
    }

    /** Asks until the edge takes only what should end in time; all is served meanwhile. */
    private void askUntilLate(long began, CompletableFuture<Void> over) {
        for (var n = 0; System.nanoTime() - began < LATE_NS; n++) {
            assertEquals(
                    200,
                    t.request(0, "/safe/x", "late" + n, "", "").status,
                    "it serves on for those that hold old lookups");
            assertFalse(over.isDone());
        }
    }

    @Test
    void anEdgeThatLeavesIsNotReadyAtOnceServesOnAndEndsOnceItHoldsNothing() throws IOException {
        models(StandInReplica.Mode.PAUSE);
        try (var s = TestHttpClient.open(t.front(0))) {
            var in = ask(s, TestHttpClient.request("/o/stream", "l1", MODEL, "p"));
            halted("l1");
            var began = System.nanoTime();
            var over = CompletableFuture.runAsync(edge::shutDown);
            while (t.readiness(0) == 200) {
                assertFalse(over.isDone());
            }
            assertTrue(System.nanoTime() - began < 500_000_000L, "not ready at once");
            assertTrue(t.askUntil(t.core(0), "members", "leaving").contains("leaving"));
            askUntilLate(began, over);
            models(StandInReplica.Mode.WELL);
            var late = t.request(0, "/o/stream", "l2", MODEL, "");
            assertTrue(late.status == 200 && late.whole && late.body.endsWith("data: piece 8\n\n"));
            while (System.nanoTime() - began < FREE_NS) {
                assertEquals(200, t.request(0, "/quick/x", "l3", "", "").status);
            }
            assertFalse(over.isDone(), "it never ends while it holds something that it took");
            resume();
            var whole = TestHttpClient.read(in);
            assertTrue(whole.whole && whole.body.endsWith("data: piece 8\n\n"));
            over.join();
            assertTrue(
                    System.nanoTime() - began < 4_200_000_000L,
                    "it ends as soon as it holds nothing");
            assertEquals(
                    0,
                    t.request(0, "/quick/x", "l4", "", "").status,
                    "it listens no more when it ends");
        }
    }

    @Test
    void aLateRequestThatMayNotEndInTimeIsRefusedUnrun() {
        plain.workMs = 2000;
        assertEquals(200, t.request(0, "/safe/x", "r1", "", "").status);
        var began = System.nanoTime();
        var over = CompletableFuture.runAsync(edge::shutDown);
        plain.workMs = 0;
        while (System.nanoTime() - began < LATE_NS) {
            t.ask(t.edge(0), "counters");
        }
        var r = t.request(0, "/safe/x", "r2", "", "");
        assertEquals(503, r.status, "requests of this route took longer lately than is left");
        assertTrue(Double.parseDouble(r.fields.get("Retry-After")) <= 0.2);
        assertEquals("close", r.fields.get("Connection"));
        assertEquals(0, plain.ran("r2"));
        assertEquals(
                200,
                t.request(0, "/quick/x", "r3", "", "").status,
                "what surely ends in time is served");
        over.join();
    }

    @Test
    void whatIsStillInHandShortlyBeforeTheKillGetsAnAnswer() throws IOException {
        plain.mode = StandInReplica.Mode.SILENT;
        try (var once = TestHttpClient.open(t.front(0));
                var safe = TestHttpClient.open(t.front(0));
                var stream = TestHttpClient.open(t.front(0));
                var late = TestHttpClient.open(t.front(0))) {
            var inOnce = ask(once, TestHttpClient.request("/once/x", "k1", "", "p"));
            var inSafe = ask(safe, TestHttpClient.request("/home/x", "k2", "", "p"));
            models(StandInReplica.Mode.STALL);
            var inStream = ask(stream, TestHttpClient.request("/o/stream", "k3", MODEL, "p"));
            halted("k1");
            halted("k2");
            halted("k3");
            var began = System.nanoTime();
            var over = CompletableFuture.runAsync(edge::shutDown);
            var inLate = new BufferedInputStream(late.getInputStream());
            while (System.nanoTime() - began < LATE_NS) {
                t.ask(t.edge(0), "counters");
            }
            try (var s = TestHttpClient.open(t.front(0))) {
                var in = ask(s, TestHttpClient.request("/o/stream", "k4", MODEL, "p"));
                halted("k4");
                over.join();
                var took = System.nanoTime() - began;
                assertTrue(
                        took > 4_000_000_000L && took < 5_000_000_000L,
                        took / 1_000_000 + " ms of the 5 s of grace");
                t.kill(t.edge(0));
                assertEquals(-1, inLate.read(), "an idle connection is closed");
                assertEquals(504, TestHttpClient.read(inOnce).status);
                assertTrue(TestHttpClient.read(inSafe).status >= 500);
                assertFalse(
                        TestHttpClient.read(inStream).whole,
                        "one that came early may be cut, and visibly");
                var r = TestHttpClient.read(in);
                assertTrue(
                        r.status == 504 && r.whole,
                        "one that came late is never cut in the middle: " + r.status);
            }
        }
    }

    @Test
    void aNewConfigurationCutsNothing() throws IOException {
        models(StandInReplica.Mode.PAUSE);
        try (var s = TestHttpClient.open(t.front(0))) {
            var in = ask(s, TestHttpClient.request("/o/stream", "c1", MODEL, "p"));
            halted("c1");
            var without =
                    TestCluster.configuration(5, "")
                            .replace(
                                    TestCluster.route(
                                                    "streamo",
                                                    "/o/",
                                                    "streaming",
                                                    "model",
                                                    1,
                                                    false,
                                                    "")
                                            + ",",
                                    "");
            assertEquals(200, t.order("POST /configuration/replace", "3", without));
            t.askUntil(t.edge(0), "home", "revision 5");
            assertEquals(404, t.request(0, "/o/stream", "c2", MODEL, "p").status);
            resume();
            assertTrue(TestHttpClient.read(in).whole);
        }
    }

    @Test
    void settingsThatAreReadAgainCutNothing() throws IOException {
        models(StandInReplica.Mode.PAUSE);
        try (var s = TestHttpClient.open(t.front(0))) {
            var in = ask(s, TestHttpClient.request("/o/stream", "h1", MODEL, "p"));
            halted("h1");
            var file = dir.resolve("settings.toml");
            Files.writeString(
                    file, t.settingsText(0).replace("GracePeriodS = 5", "GracePeriodS = 6"));
            Launcher.reread(t.settings(0), file, new AtomicReference<>(t.settingsText(0)));
            assertEquals(6, t.settings(0).bounds().gracePeriodS());
            assertEquals(200, t.request(0, "/safe/x", "h2", "", "").status);
            resume();
            assertTrue(TestHttpClient.read(in).whole);
        }
    }
}
