package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A cold replica is given its share and no more, also when many requests come in one moment. */
final class ColdTest {
    @TempDir Path dir;

    @Test
    void moreEdgesThanSendsAreLentTheirTurns() throws Exception {
        try (var t = new TestCluster(dir, 89, 3)) {
            t.replica("i-a", "plain", 0);
            var c = t.replica("i-cold", "model", 0);
            t.warmLeft.put("i-cold", 60_000);
            var all = new int[] {0, 3, 6, 9, 12, 15, 18};
            for (var i : all) {
                t.startEdge(i);
            }
            assertEquals(
                    200,
                    t.order(
                            "POST /configuration/replace",
                            "0",
                            TestCluster.configuration(3, "")
                                    .replace("\"WarmupPerS\":8.0", "\"WarmupPerS\":2.0")));
            t.awaitReady(all);
            for (var i : all) {
                assertTrue(t.askUntil(t.edge(i), "counters", "edges 7").contains("edges 7"));
            }
            var pool = Executors.newCachedThreadPool();
            var t0 = System.nanoTime();
            var served = 0;
            for (var round = 0; round < 60 && served < 6; round++) {
                var l = new java.util.ArrayList<Future<Integer>>();
                for (var i : all) {
                    var id = "lent" + round + "-" + i;
                    l.add(
                            pool.submit(
                                    () ->
                                            t.request(
                                                            i,
                                                            "/r/stream",
                                                            id,
                                                            "X-Model: m\r\n"
                                                                    + "X-Token-Usage: 10,40\r\n",
                                                            "p")
                                                    .status));
                }
                for (var f : l) {
                    served += f.get() == 200 ? 1 : 0;
                }
            }
            var s = (System.nanoTime() - t0) / 1e9;
            pool.shutdownNow();
            assertTrue(served > 0, "it gets something");
            assertTrue(
                    c.ranAll() <= 2 * (s + 1), c.ranAll() + " in " + s + " s, 2 a second allowed");
        }
    }

    @Test
    void aColdReplicaGetsNoMoreThanItsShareHoweverManyComeAtOnce() throws Exception {
        try (var t = new TestCluster(dir, 77, 3)) {
            t.replica("i-a", "plain", 0);
            var c = t.replica("i-cold", "model", 0);
            t.warmLeft.put("i-cold", 60_000);
            t.startEdge(0);
            t.startEdge(1);
            assertEquals(
                    200,
                    t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
            t.awaitReady(0, 1);
            t.askUntil(t.edge(0), "replicas", "i-cold");
            t.askUntil(t.edge(1), "replicas", "i-cold");
            var pool = Executors.newCachedThreadPool();
            var t0 = System.nanoTime();
            for (var i = 0; i < 60; i++) {
                var k = i;
                pool.execute(
                        () ->
                                t.request(
                                        k % 2,
                                        "/r/stream",
                                        "cold" + k,
                                        "X-Model: m\r\nX-Token-Usage: 10,40\r\n",
                                        "p"));
            }
            pool.shutdown();
            assertTrue(pool.awaitTermination(20, TimeUnit.SECONDS));
            var s = (System.nanoTime() - t0) / 1e9;
            assertTrue(
                    c.ranAll() > 0 && c.ranAll() <= 8 * (s + 1),
                    c.ranAll() + " in " + s + " s, 8 a second allowed");
        }
    }
}
