package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.Executors;
import martenloom.launcher.harness.Prompts;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What an overload report keeps away from a region spills to an allowed one with capacity; what may
 * go nowhere else is rejected with a retry time.
 */
final class OverloadSpillTest {
    private static final int LARGE_PROMPTS = 12;
    private static final int LARGE_PROMPT_TOKENS = 30_000;
    private static final int SMALL_PROMPTS = 6;
    private static final TestRoute NORTH_ONLY =
            new TestRoute("northonly", "/n/", "streaming", "model", 1).onlyIn("north");

    @TempDir private Path dir;

    /** Whether any of some prompts that may run in the north only is rejected with a retry time. */
    private static boolean isAnyRejected(TestCluster cluster) {
        var rejected = false;
        for (var i = 0; i < SMALL_PROMPTS && !rejected; i++) {
            var reply = cluster.prompt(1, "/n/stream", "n" + i);
            rejected = reply.status() == 503 && Double.parseDouble(reply.field("Retry-After")) > 0;
        }
        return rejected;
    }

    @Test
    void selectedPromptsSpillWhereTheyMayAndAreRejectedWhereTheyMayNot() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-n", "model", 0)
                        .replica("i-w", "model", 2)
                        .edges(0, 1)
                        .routes(NORTH_ONLY)
                        .start()) {
            cluster.assertShown(cluster.edge(0), "leases", "north/m grant 1");
            cluster.replica("i-n").fault(ReplicaFault.SILENT);
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < LARGE_PROMPTS; i++) {
                var id = "big" + i;
                var prefix = "aa" + id + ":" + LARGE_PROMPT_TOKENS;
                var prompt = Prompts.ofTokens(LARGE_PROMPT_TOKENS, prefix);
                pool.execute(() -> cluster.request(0, "/n/stream", id, prompt, "p"));
            }
            cluster.assertShown(cluster.edge(1), "overload", "north/m ACTIVE");
            assertTrue(
                    isAnyRejected(cluster),
                    "what may run in the north only is rejected with a time to come back");
            for (var i = 0; i < SMALL_PROMPTS; i++) {
                var reply = cluster.prompt(1, "/r/stream", "r" + i);
                assertEquals(200, reply.status());
                assertEquals("seal-i-w", reply.seal());
            }
            var west = cluster.replica("i-w");
            assertEquals(
                    0,
                    west.attempts("n") + west.attempts("big"),
                    "nothing bound to the north was executed in the west");
            var overload = cluster.ask(cluster.edge(1), "overload");
            assertTrue(
                    overload.matches(
                            "(?s).*north/m .*considered [1-9].*selected [1-9].*refused [0-9].*"),
                    overload);
            pool.shutdownNow();
        }
    }
}
