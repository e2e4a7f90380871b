package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Large shared prefixes stay where they were prefilled, however many edges ask for them: an edge
 * that never sent the prefix there counts only what the replica must still prefill, and a stream
 * that pauses while much is prefilled is not taken for lost.
 */
final class PrefixOwnerTest {
    private static final int SHARED_TOKENS = 12_000;
    private static final int OWN_TOKENS = 300;
    private static final int LARGE_TOKENS = 16_000;
    private static final int REQUESTS = 6;
    private static final int ATTEMPTS = 5;
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;
    private static final long LEAST_PAUSE_MS = 1_000;
    private static final long NS_PER_MS = 1_000_000;

    @TempDir private Path dir;

    /** A prompt of the shared prefix and a block of its own. */
    private static HttpReply request(
            TestCluster cluster, int edge, String path, String attempt, String ownBlock) {
        var prefix = "aa:" + SHARED_TOKENS + "," + ownBlock + ":" + OWN_TOKENS;
        var prompt = Prompts.ofTokens(SHARED_TOKENS + OWN_TOKENS, prefix);
        return cluster.request(edge, path, attempt, prompt, "p");
    }

    private static StandInReplica modelReplica(
            TestCluster cluster, Predicate<StandInReplica> sought) {
        return cluster.replicas().stream()
                .filter(replica -> replica.service().equals("model"))
                .filter(sought)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void anEdgeThatNeverSentThePrefixCountsOnlyTheOwnBlockAtItsOwner() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-m0", "model", 0)
                        .replica("i-m1", "model", 1)
                        .replica("i-m2", "model", 2)
                        .edges(0, 1)
                        .start()) {
            for (var id : new String[] {"i-m0", "i-m1", "i-m2"}) {
                cluster.askUntil(cluster.edge(0), "replicas", id);
                cluster.askUntil(cluster.edge(1), "replicas", id);
            }
            assertEquals(200, request(cluster, 0, "/r/stream", "first", "b0").status());
            var owner = modelReplica(cluster, replica -> replica.executions("first") == 1);
            assertTrue(
                    cluster.askUntil(cluster.edge(1), "places", "aa at")
                            .contains("aa at " + owner.id()),
                    "the other edge is told");
            for (var i = 0; i < REQUESTS; i++) {
                assertEquals(200, request(cluster, 1, "/r/stream", "again" + i, "c" + i).status());
                assertEquals(
                        1, owner.executions("again" + i), "it is not prefilled anew elsewhere");
            }
            var seen = false;
            for (var i = 0; i < ATTEMPTS && !seen; i++) {
                seen = isOwnBlockCountedAtOwner(cluster, i);
            }
            assertTrue(
                    seen,
                    "the attempt in flight counts the own block, 300 tokens, and not the 12000"
                            + " that are cached there");
        }
    }

    /**
     * Halts a request at the prefix owner and asks the edge about it for as long as it is there.
     */
    private static boolean isOwnBlockCountedAtOwner(TestCluster cluster, int number) {
        var places = cluster.ask(cluster.edge(1), "places");
        var owner = modelReplica(cluster, replica -> places.contains("aa at " + replica.id()));
        owner.fault(ReplicaFault.STALL);
        var halted =
                CompletableFuture.supplyAsync(
                        () -> request(cluster, 1, "/r/halts", "halts" + number, "d" + number));
        var counted = owner.id() + " model " + owner.zone() + " in-hand 1 others 0 unread 300 ";
        var seen = false;
        while (!halted.isDone() && !seen) {
            seen = cluster.ask(cluster.edge(1), "replicas").contains(counted);
        }
        assertEquals(200, halted.join().status(), "it goes on at another replica");
        owner.fault(ReplicaFault.NONE);
        return seen;
    }

    @Test
    void aStreamMayPauseForAsLongAsOtherPromptsArePrefilled() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-m", "model", 0)
                        .silentReplica("i-n", "model", 0)
                        .edges(0)
                        .start()) {
            var stalling = cluster.replica("i-m");
            var other = cluster.replica("i-n");
            cluster.askUntil(cluster.edge(0), "replicas", "i-m");
            stalling.fault(ReplicaFault.STALL);
            var prompt = Prompts.ofTokens(LARGE_TOKENS);
            var large =
                    CompletableFuture.supplyAsync(
                            () -> cluster.request(0, "/r/halts", "big", prompt, "p"));
            cluster.askUntil(cluster.edge(0), "replicas", "unread 16000");
            var beganNs = System.nanoTime();
            var stream =
                    CompletableFuture.supplyAsync(() -> cluster.prompt(0, "/r/stream", "pauses"));
            while (!stalling.stalled().contains("pauses")
                    && System.nanoTime() - beganNs < STALL_TIMEOUT_NS) {
                Thread.onSpinWait();
            }
            var pausedNs = System.nanoTime();
            cluster.resumeHeartbeats(other);
            assertEquals(200, stream.join().status());
            var tookMs = (System.nanoTime() - pausedNs) / NS_PER_MS;
            assertEquals(1, other.executions("pauses"), "in the end it moves");
            assertTrue(
                    tookMs >= LEAST_PAUSE_MS,
                    "moved after "
                            + tookMs
                            + " ms, though 16000 tokens were to be prefilled first");
            assertEquals(200, large.join().status());
        }
    }
}
