package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.Executors;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a report keeps away from a region spills to an allowed one with room; what may go nowhere
 * else is refused with a time.
 */
final class SpillTest {
    @TempDir Path dir;

    @Test
    void selectedPromptsSpillWhereTheyMayAndAreRefusedWhereTheyMayNot() {
        try (var t = new TestCluster(dir, 80, 3)) {
            t.replica("i-a", "plain", 0);
            var north = t.replica("i-n", "model", 0);
            var west = t.replica("i-w", "model", 2);
            t.startEdge(0);
            t.startEdge(1);
            var only =
                    ","
                            + TestCluster.route(
                                    "northonly",
                                    "/n/",
                                    "streaming",
                                    "model",
                                    1,
                                    false,
                                    "\"north\"");
            assertEquals(
                    200,
                    t.order(
                            "POST /configuration/replace",
                            "0",
                            TestCluster.configuration(3, only)));
            t.awaitReady(0, 1);
            assertTrue(t.askUntil(t.edge(0), "leases", "north/m grant 1").contains("north/m"));
            north.mode = StandInReplica.Mode.SILENT;
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < 12; i++) {
                var id = "big" + i;
                pool.execute(
                        () ->
                                t.request(
                                        0,
                                        "/n/stream",
                                        id,
                                        "X-Model: m\r\n"
                                                + "X-Token-Usage: 30000,40\r\n"
                                                + "X-Prompt-Prefix: aa"
                                                + id
                                                + ":30000\r\n",
                                        "p"));
            }
            assertTrue(
                    t.askUntil(t.edge(1), "overload", "north/m ACTIVE").contains("north/m ACTIVE"));
            var refused = 0;
            for (var i = 0; i < 6 && refused == 0; i++) {
                var r =
                        t.request(
                                1,
                                "/n/stream",
                                "n" + i,
                                "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                "p");
                refused +=
                        r.status == 503 && Double.parseDouble(r.fields.get("Retry-After")) > 0
                                ? 1
                                : 0;
            }
            assertTrue(
                    refused > 0,
                    "what may run in the north only is refused with a time to come back");
            for (var i = 0; i < 6; i++) {
                var r =
                        t.request(
                                1,
                                "/r/stream",
                                "r" + i,
                                "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                "p");
                assertEquals(200, r.status);
                assertEquals("seal-i-w", r.fields.get("X-Server-Seal"));
            }
            assertEquals(
                    0,
                    west.heads.keySet().stream()
                            .filter(k -> k.startsWith("n") || k.startsWith("big"))
                            .count(),
                    "nothing bound to the north ran in the west");
            var o = t.ask(t.edge(1), "overload");
            assertTrue(
                    o.matches("(?s).*north/m .*considered [1-9].*selected [1-9].*refused [0-9].*"),
                    o);
            pool.shutdownNow();
        }
    }
}
