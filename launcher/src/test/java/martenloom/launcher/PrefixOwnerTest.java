package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Large shared parts stay where they were read, however many edges ask for them: an edge that never
 * sent the part there counts only what the replica must still read, and a stream that pauses while
 * much is read is not taken for lost.
 */
final class PrefixOwnerTest {
    @TempDir Path dir;

    private static String large(String own, int tokens) {
        return "X-Model: m\r\nX-Token-Usage: "
                + (12_000 + tokens)
                + ",40\r\nX-Prompt-Prefix: aa:12000,"
                + own
                + ":"
                + tokens
                + "\r\n";
    }

    @Test
    void anEdgeThatNeverSentThePartCountsOnlyTheOwnPartAtItsPrefixOwner() {
        try (var t = new TestCluster(dir, 84, 3)) {
            t.replica("i-a", "plain", 0);
            var all =
                    java.util.List.of(
                            t.replica("i-m0", "model", 0),
                            t.replica("i-m1", "model", 1),
                            t.replica("i-m2", "model", 2));
            t.startEdge(0);
            t.startEdge(1);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1);
            all.forEach(
                    r -> {
                        t.askUntil(t.edge(0), "replicas", r.id);
                        t.askUntil(t.edge(1), "replicas", r.id);
                    });
            assertEquals(200, t.request(0, "/r/stream", "first", large("b0", 300), "p").status);
            var prefixOwner =
                    all.stream().filter(r -> r.ran("first") == 1).findFirst().orElseThrow();
            assertTrue(
                    t.askUntil(t.edge(1), "places", "aa at").contains("aa at " + prefixOwner.id),
                    "the other edge is told");
            for (var i = 0; i < 6; i++) {
                assertEquals(
                        200,
                        t.request(1, "/r/stream", "again" + i, large("c" + i, 300), "p").status);
                assertEquals(1, prefixOwner.ran("again" + i), "it is not read anew elsewhere");
            }
            var seen = false;
            for (var i = 0; i < 5 && !seen; i++) {
                seen = seenAtPrefixOwner(t, all, "halts" + i);
            }
            assertTrue(
                    seen,
                    "the attempt in hand counts the own part, 300 tokens, and not the 12000 that"
                            + " are kept there");
        }
    }

    /**
     * Halts an request at the prefix owner and looks at it from the edge for as long as it is
     * there.
     */
    private static boolean seenAtPrefixOwner(
            TestCluster t, java.util.List<StandInReplica> all, String id) {
        var places = t.ask(t.edge(1), "places");
        var prefixOwner =
                all.stream()
                        .filter(r -> places.contains("aa at " + r.id))
                        .findFirst()
                        .orElseThrow();
        prefixOwner.mode = StandInReplica.Mode.STALL;
        var late =
                CompletableFuture.supplyAsync(
                        () ->
                                t.request(
                                        1,
                                        "/r/halts",
                                        id,
                                        large("d" + id.charAt(id.length() - 1), 300),
                                        "p"));
        var seen = false;
        while (!late.isDone() && !seen) {
            seen =
                    t.ask(t.edge(1), "replicas")
                            .contains(
                                    prefixOwner.id
                                            + " model "
                                            + prefixOwner.zone
                                            + " in-hand 1 others 0 unread 300 ");
        }
        assertEquals(200, late.join().status, "it goes on at another replica");
        prefixOwner.mode = StandInReplica.Mode.WELL;
        return seen;
    }

    @Test
    void aStreamMayPauseForAsLongAsOthersAreRead() throws Exception {
        try (var t = new TestCluster(dir, 85, 3)) {
            t.replica("i-a", "plain", 0);
            var m = t.replica("i-m", "model", 0);
            var n = t.replica("i-n", "model", 0);
            t.mute(n);
            t.startEdge(0);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0);
            t.askUntil(t.edge(0), "replicas", "i-m");
            m.mode = StandInReplica.Mode.STALL;
            var big =
                    CompletableFuture.supplyAsync(
                            () ->
                                    t.request(
                                            0,
                                            "/r/halts",
                                            "big",
                                            "X-Model: m\r\nX-Token-Usage: 16000,40\r\n",
                                            "p"));
            t.askUntil(t.edge(0), "replicas", "unread 16000");
            var t0 = System.nanoTime();
            var stream =
                    CompletableFuture.supplyAsync(
                            () ->
                                    t.request(
                                            0,
                                            "/r/stream",
                                            "pauses",
                                            "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                            "p"));
            while (!m.stalled.contains("pauses") && System.nanoTime() - t0 < 10_000_000_000L) {
                Thread.onSpinWait();
            }
            var at = System.nanoTime();
            t.unmute(n);
            assertEquals(200, stream.join().status);
            var ms = (System.nanoTime() - at) / 1_000_000;
            assertEquals(1, n.ran("pauses"), "in the end it is");
            assertTrue(
                    ms >= 1000,
                    "moved after " + ms + " ms, though 16000 tokens were to be read first");
            assertEquals(200, big.join().status);
        }
    }
}
