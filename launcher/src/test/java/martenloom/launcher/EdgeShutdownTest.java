package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.EventStream;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import martenloom.launcher.harness.TestHttpClient;
import martenloom.launcher.harness.TestRoute;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The graceful shutdown of an edge after SIGTERM, and requests in flight while the configuration or
 * the settings change.
 */
final class EdgeShutdownTest {
    /** Past the half of the grace period of 5 s, from when on the edge admits less. */
    private static final long SECOND_HALF_NS = 2_550_000_000L;

    /** When the edge begins to look for a moment at which nothing is in flight. */
    private static final long IDLE_CHECK_NS = 3_350_000_000L;

    private static final long GRACE_PERIOD_NS = 5_000_000_000L;
    private static final long LAST_ANSWERS_NS = 4_000_000_000L;
    private static final long IDLE_END_NS = 4_200_000_000L;
    private static final long NOT_READY_NS = 500_000_000L;
    private static final long NS_PER_MS = 1_000_000;
    private static final int HALT_TIMEOUT_S = 10;
    private static final int SLOW_EXECUTION_MS = 2_000;
    private static final TestRoute QUICK =
            new TestRoute("quick", "/quick/", "idempotent", "plain", 2).withTimeoutMs(1_000);

    @AutoClose private TestCluster cluster;
    private StandInReplica plain;
    @TempDir private Path dir;

    @BeforeEach
    void startCluster() {
        cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replicas("model", 0, "i-m", "i-o")
                        .edges(0, 1)
                        .routes(QUICK)
                        .start();
        plain = cluster.replica("i-a");
        assertTrue(cluster.request(0, "/o/stream", "first", Prompts.SMALL, "").complete());
    }

    private static BufferedInputStream send(Socket socket, byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        return new BufferedInputStream(socket.getInputStream());
    }

    private static byte[] stream(String attempt) {
        return TestHttpClient.request("/o/stream", attempt, Prompts.SMALL, "p");
    }

    private void awaitHalted(String attempt) {
        var halted =
                cluster.replicas().stream()
                        .map(replica -> replica.halted(attempt))
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.anyOf(halted).orTimeout(HALT_TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    private void faultOfModels(ReplicaFault fault) {
        cluster.replica("i-m").fault(fault);
        cluster.replica("i-o").fault(fault);
    }

    private void resumeReplicas() {
        cluster.replicas().forEach(StandInReplica::resume);
    }

    private CompletableFuture<Void> shutDownEdge() {
        return CompletableFuture.runAsync(cluster.edgeDaemon(0)::shutDown);
    }

    /** Queries the edge, which changes nothing, until so long after the shutdown began. */
    private void askUntilElapsed(long beganNs, long durationNs) {
        while (System.nanoTime() - beganNs < durationNs) {
            cluster.ask(cluster.edge(0), "counters");
        }
    }

    /** Sends requests until the edge admits only what should end in time; all are served. */
    private void requestUntilSecondHalf(long beganNs, CompletableFuture<Void> shutdown) {
        for (var i = 0; System.nanoTime() - beganNs < SECOND_HALF_NS; i++) {
            assertEquals(
                    200,
                    cluster.request(0, "/safe/x", "late" + i).status(),
                    "it serves on for clients that hold an old lookup");
            assertFalse(shutdown.isDone());
        }
    }

    @Test
    void anEdgeThatShutsDownIsNotReadyAtOnceServesOnAndEndsOnceNothingIsInFlight()
            throws IOException {
        faultOfModels(ReplicaFault.PAUSE);
        try (var socket = TestHttpClient.open(cluster.front(0))) {
            var response = send(socket, stream("l1"));
            awaitHalted("l1");
            var beganNs = System.nanoTime();
            var shutdown = shutDownEdge();
            while (cluster.readiness(0) == 200) {
                assertFalse(shutdown.isDone());
            }
            assertTrue(System.nanoTime() - beganNs < NOT_READY_NS, "not ready at once");
            cluster.assertShown(cluster.core(0), "members", "leaving");
            requestUntilSecondHalf(beganNs, shutdown);
            faultOfModels(ReplicaFault.NONE);
            var late = cluster.request(0, "/o/stream", "l2", Prompts.SMALL, "");
            assertTrue(
                    late.status() == 200
                            && late.complete()
                            && late.body().endsWith(EventStream.LAST_EVENT));
            while (System.nanoTime() - beganNs < IDLE_CHECK_NS) {
                assertEquals(200, cluster.request(0, "/quick/x", "l3").status());
            }
            assertFalse(shutdown.isDone(), "it never ends while an admitted request is in flight");
            resumeReplicas();
            var first = TestHttpClient.read(response);
            assertTrue(first.complete() && first.body().endsWith(EventStream.LAST_EVENT));
            shutdown.join();
            assertTrue(
                    System.nanoTime() - beganNs < IDLE_END_NS,
                    "it ends as soon as nothing is in flight");
            assertEquals(
                    0,
                    cluster.request(0, "/quick/x", "l4").status(),
                    "it listens no more when it ends");
        }
    }

    @Test
    void aLateRequestThatMayNotEndInTimeIsRejectedUnexecuted() {
        plain.executionMs(SLOW_EXECUTION_MS);
        assertEquals(200, cluster.request(0, "/safe/x", "r1").status());
        var beganNs = System.nanoTime();
        var shutdown = shutDownEdge();
        plain.executionMs(0);
        askUntilElapsed(beganNs, SECOND_HALF_NS);
        var rejected = cluster.request(0, "/safe/x", "r2");
        assertEquals(503, rejected.status(), "recent requests of this route took longer than left");
        assertTrue(Double.parseDouble(rejected.field("Retry-After")) <= 0.2);
        assertEquals("close", rejected.field("Connection"));
        assertEquals(0, plain.executions("r2"));
        assertEquals(
                200,
                cluster.request(0, "/quick/x", "r3").status(),
                "what surely ends in time is served");
        shutdown.join();
    }

    @Test
    void whatIsInFlightShortlyBeforeTheKillGetsAResponse() throws IOException {
        plain.fault(ReplicaFault.SILENT);
        try (var onceSocket = TestHttpClient.open(cluster.front(0));
                var safeSocket = TestHttpClient.open(cluster.front(0));
                var streamSocket = TestHttpClient.open(cluster.front(0));
                var idleSocket = TestHttpClient.open(cluster.front(0))) {
            var once = send(onceSocket, TestHttpClient.request("/once/x", "k1", "", "p"));
            var safe = send(safeSocket, TestHttpClient.request("/home/x", "k2", "", "p"));
            faultOfModels(ReplicaFault.STALL);
            var stream = send(streamSocket, stream("k3"));
            awaitHalted("k1");
            awaitHalted("k2");
            awaitHalted("k3");
            var beganNs = System.nanoTime();
            var shutdown = shutDownEdge();
            var idle = new BufferedInputStream(idleSocket.getInputStream());
            askUntilElapsed(beganNs, SECOND_HALF_NS);
            try (var lateSocket = TestHttpClient.open(cluster.front(0))) {
                var late = send(lateSocket, stream("k4"));
                awaitHalted("k4");
                shutdown.join();
                var tookNs = System.nanoTime() - beganNs;
                assertTrue(
                        tookNs > LAST_ANSWERS_NS && tookNs < GRACE_PERIOD_NS,
                        tookNs / NS_PER_MS + " ms of the 5 s of grace");
                cluster.kill(cluster.edge(0));
                assertEquals(-1, idle.read(), "an idle connection is closed");
                assertEquals(504, TestHttpClient.read(once).status());
                assertTrue(TestHttpClient.read(safe).status() >= 500);
                assertFalse(
                        TestHttpClient.read(stream).complete(),
                        "a stream that came early may be cut, and visibly");
                var last = TestHttpClient.read(late);
                assertTrue(
                        last.status() == 504 && last.complete(),
                        "a stream that came late is never cut in the middle: " + last.status());
            }
        }
    }

    @Test
    void aNewConfigurationCutsNothingInFlight() throws IOException {
        faultOfModels(ReplicaFault.PAUSE);
        try (var socket = TestHttpClient.open(cluster.front(0))) {
            var response = send(socket, stream("c1"));
            awaitHalted("c1");
            var without = TestConfiguration.without(TestConfiguration.STREAM_ONCE, 5);
            assertEquals(200, cluster.control().replaceConfiguration(3, without));
            cluster.askUntil(cluster.edge(0), "home", "revision 5");
            assertEquals(404, cluster.prompt(0, "/o/stream", "c2").status());
            resumeReplicas();
            assertTrue(TestHttpClient.read(response).complete());
        }
    }

    @Test
    void settingsThatAreReadAgainCutNothingInFlight() throws IOException {
        faultOfModels(ReplicaFault.PAUSE);
        try (var socket = TestHttpClient.open(cluster.front(0))) {
            var response = send(socket, stream("h1"));
            awaitHalted("h1");
            var file = dir.resolve("settings.toml");
            var text = cluster.edgeSettingsText(0);
            Files.writeString(file, text.replace("GracePeriodS = 5", "GracePeriodS = 6"));
            new SettingsWatcher(cluster.edgeSettings(0), file, text).reloadIfChanged();
            assertEquals(6, cluster.edgeSettings(0).bounds().gracePeriodS());
            assertEquals(200, cluster.request(0, "/safe/x", "h2").status());
            resumeReplicas();
            assertTrue(TestHttpClient.read(response).complete());
        }
    }
}
