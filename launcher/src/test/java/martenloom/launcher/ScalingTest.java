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
 * The scaler as whole programs: sums of several edges, a holder lost, a cut core, and one model to
 * nothing and back.
 */
final class ScalingTest {
    private static final String ENGINE = "X-Model: m\r\nX-Token-Usage: 10,40\r\n";
    @TempDir Path dir;

    /** The edge of the north that holds the scaler's duty. */
    private static int holder(TestCluster t, int... edges) {
        for (var i = 0; i < 100_000; i++) {
            var e = edges[i % edges.length];
            if (t.ask(t.edge(e), "scaling").contains("north/m in-flight")) {
                return e;
            }
        }
        return -1;
    }

    private static TestCluster open(Path dir, int net, String words) {
        var t = new TestCluster(dir, net, 3).scaling(words);
        t.replica("i-p", "plain", 0);
        t.replica("i-n", "model", 0);
        t.replica("i-n2", "model", 0);
        t.replica("i-s", "model", 1);
        t.replica("i-w", "model", 2);
        t.startEdge(0);
        t.startEdge(3);
        assertEquals(
                200, t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
        t.awaitReady(0, 3);
        t.askUntil(t.edge(0), "replicas", "i-w");
        t.askUntil(t.edge(3), "replicas", "i-w");
        return t;
    }

    @Test
    void sumsOfEdgesAddUpAndTheLossOfOneOrOfTheCoreIsSurvived() {
        try (var t = open(dir, 87, "window=10,delay=3600")) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.STALL);
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < 5; i++) {
                var k = i;
                pool.execute(() -> t.request(k < 3 ? 0 : 3, "/o/stream", "s" + k, ENGINE, "p"));
            }
            var h = holder(t, 0, 3);
            var s = t.askUntil(t.edge(h), "scaling", "in-flight 5");
            assertTrue(s.contains("north/m in-flight 5"), s);
            assertTrue(s.contains("grant 1"), s);
            t.kill(t.edge(3 - h));
            var left = h == 0 ? 3 : 2;
            assertTrue(
                    t.askUntil(t.edge(h), "scaling", "in-flight " + left)
                            .contains("in-flight " + left),
                    "a lost edge's part lapses");
            t.startEdge(3 - h);
            t.awaitReady(3 - h);
            t.kill(t.edge(h));
            var n = holder(t, 3 - h);
            assertEquals(3 - h, n);
            assertTrue(
                    t.ask(t.edge(n), "scaling").contains("grant 2"),
                    "a successor has a newer fence");
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            t.kill(t.core(0));
            t.kill(t.core(1));
            var end = System.nanoTime() + 20_000_000_000L;
            while (t.ask(t.edge(n), "scaling").contains("in-flight") && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertEquals(
                    "",
                    t.ask(t.edge(n), "scaling"),
                    "without a majority there is no holder and no order");
            var r = t.request(n, "/r/stream", "after", ENGINE, "p");
            assertEquals(200, r.status, "serving goes on");
            pool.shutdownNow();
        }
    }

    private static long delayLeft(String scaling) {
        return Long.parseLong(
                scaling.replaceAll("(?s).*north/m [^\n]*delay-left (\\d+) ms.*", "$1"));
    }

    @Test
    void aScalerKilledMidDelayIsFollowedByOneThatBeginsAnew() {
        try (var t = open(dir, 90, "window=10,delay=3600")) {
            var h = holder(t, 0, 3);
            var w = t.askUntil(t.edge(h), "scaling", "phase WAITING");
            assertTrue(w.contains("desired 2 running 2") && w.contains("phase WAITING"), w);
            t.kill(t.edge(h));
            var before = delayLeft(w);
            var n = holder(t, 3 - h);
            var first = t.ask(t.edge(n), "scaling");
            assertTrue(
                    first.contains("phase STEADY") && first.contains("desired 2"),
                    "a window of its own comes first: " + first);
            var again = t.askUntil(t.edge(n), "scaling", "phase WAITING");
            assertTrue(again.contains("desired 2 running 2"), "it errs warm: " + again);
            assertTrue(
                    delayLeft(again) > before - 9_000,
                    "the delay begins anew, though more than a window has gone by: "
                            + before
                            + ", "
                            + delayLeft(again));
        }
    }

    @Test
    void aModelGoesToNothingWhereItMayAndTheFirstThatWaitsWakesIt() {
        try (var t = open(dir, 88, "window=10,delay=0")) {
            var h = holder(t, 0, 3);
            assertTrue(
                    t.askUntil(
                                    t.edge(h),
                                    "scaling",
                                    "north/m in-flight 0 average 0.00 wanted 0 desired 1")
                            .contains("desired 1"),
                    t.ask(t.edge(h), "scaling"));
            var s = t.askUntil(t.edge(h), "scaling", "desired 0 running 0");
            assertTrue(s.contains("desired 0 running 0 registered 2"), s);
            var e = t.askUntil(t.edge(3 - h), "scaling", "north/m desired 0");
            assertTrue(e.contains("north/m desired 0"), "every edge knows: " + e);
            for (var i = 0; i < 6; i++) {
                var r = t.request(0, "/r/stream", "away" + i, ENGINE, "p");
                assertEquals(200, r.status);
                assertTrue(
                        r.fields.get("X-Server-Seal").matches("seal-i-[sw]"),
                        "what rests gets no new prompts");
            }
            assertEquals(200, t.order("POST /evacuations/south-b/start", "", ""));
            assertEquals(200, t.order("POST /evacuations/west-c/start", "", ""));
            var woken = t.request(0, "/r/stream", "first", ENGINE, "p");
            for (var i = 0;
                    i < 40
                            && !woken.fields
                                    .getOrDefault("X-Server-Seal", "")
                                    .startsWith("seal-i-n");
                    i++) {
                woken = t.request(0, "/r/stream", "first" + i, ENGINE, "p");
            }
            assertTrue(
                    woken.fields.getOrDefault("X-Server-Seal", "").startsWith("seal-i-n"),
                    "one was woken");
            assertTrue(
                    t.askUntil(t.core(0), "exposure", "north")
                            .contains("model 'm' would run nowhere if region 'north' were lost"));
        }
    }
}
