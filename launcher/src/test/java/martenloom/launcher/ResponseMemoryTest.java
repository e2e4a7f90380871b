package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestHttpClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/** Responses that are large, or are not read, at an edge with little memory. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class ResponseMemoryTest {
    private static final int EDGE_MEMORY_MB = 16;
    private static final int RESPONSE_BYTES = 1_500_000;
    private static final int CLIENTS = 24;
    private static final long LONG_SILENCE_NS = 2_000_000_000L;
    private static final String PROMPT = Prompts.ofTokens(10, "5c1e07a2:4,91bd3f06:6");

    private TestCluster cluster;

    @BeforeAll
    void startCluster(@TempDir Path dir) {
        cluster =
                TestCluster.in(dir)
                        .edgeMemoryMb(EDGE_MEMORY_MB)
                        .replica("i-p", "plain", 0)
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start();
        cluster.askUntil(cluster.edge(0), "replicas", "i-m");
    }

    @AfterAll
    void stopCluster() {
        cluster.close();
    }

    /** Guards against responses that take the memory of an edge, or wait for each other's end. */
    @Test
    void largeResponsesAtOnceAllArriveWhole() {
        var replica = cluster.replica("i-p");
        replica.responseBytes(RESPONSE_BYTES);
        var clients = Executors.newFixedThreadPool(CLIENTS);
        var replies = new ArrayList<CompletableFuture<HttpReply>>();
        for (var client = 0; client < CLIENTS; client++) {
            var attempt = "large-" + client;
            replies.add(
                    CompletableFuture.supplyAsync(
                            () -> cluster.request(0, "/safe/x", attempt), clients));
        }
        for (var client = 0; client < CLIENTS; client++) {
            var reply = replies.get(client).join();
            assertEquals(200, reply.status());
            assertEquals(replica.responseText("large-" + client), reply.body());
        }
        clients.shutdown();
        replica.responseBytes(0);
    }

    /** Guards against a replica, and its zone, that is taken for silent for a client's sake. */
    @Test
    void aStreamThatIsNotReadDoesNotKeepOthersFromItsReplica() throws IOException {
        var replica = cluster.replica("i-m");
        replica.fault(ReplicaFault.FLOOD);
        try (var unread = TestHttpClient.open(cluster.front(0))) {
            unread.getOutputStream()
                    .write(TestHttpClient.request("/o/stream", "unread", PROMPT, "p"));
            assertTrue(unread.getInputStream().read() >= 0);
            replica.fault(ReplicaFault.NONE);
            var endNs = System.nanoTime() + LONG_SILENCE_NS;
            while (System.nanoTime() < endNs) {
                assertFalse(cluster.ask(cluster.edge(0), "replicas").contains(" suspect"));
            }
            assertEquals(200, stream("read").status());
        }
    }

    private HttpReply stream(String attempt) throws IOException {
        try (var socket = TestHttpClient.open(cluster.front(0))) {
            socket.getOutputStream()
                    .write(TestHttpClient.request("/o/stream", attempt, PROMPT, "p"));
            return TestHttpClient.read(socket.getInputStream());
        }
    }
}
