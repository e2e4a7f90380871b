package martenloom.launcher;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import martenloom.launcher.harness.TestCluster;

/**
 * A measurement, not a test: a cluster of three regions under a wave of interactive requests, once
 * without and once with deferred jobs, and what the jobs do to it. Run with: java -cp ...
 * martenloom.launcher.JobLoad
 */
public final class JobLoad {
    private static final int SECONDS = 40;
    private static final int JOBS = 90;
    private static final int WORK_MS = 200;

    private JobLoad() {}

    private static final class Figures {
        final List<Long> quick = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger bad = new AtomicInteger();
        long busy;
        int done;
        int other;
        long lastMs;
    }

    public static void main(String[] a) throws Exception {
        for (var round = 0; round < 2; round++) {
            print("without jobs", play(91 + round * 2, 0));
            print("with jobs", play(92 + round * 2, JOBS));
        }
        System.exit(0);
    }

    private static void print(String what, Figures f) {
        var l = new ArrayList<>(f.quick);
        Collections.sort(l);
        System.out.printf(
                "%-14s interactive %d, bad %d, p50 %d ms, p99 %d ms; replicas busy %.2f; jobs done"
                        + " %d, other %d, last after %d ms%n",
                what,
                l.size(),
                f.bad.get(),
                l.get(l.size() / 2),
                l.get(l.size() * 99 / 100),
                f.busy / 1000.0 / SECONDS / 24,
                f.done,
                f.other,
                f.lastMs);
    }

    /** Requests a second at second t: busy, then quiet, then busy. */
    private static int rate(int t) {
        return t < 12 ? 70 : t < 28 ? 15 : 70;
    }

    private static Figures play(int net, int jobs) throws Exception {
        var f = new Figures();
        var dir = Files.createTempDirectory("load");
        try (var t = new TestCluster(dir, net, 3)) {
            t.replica("i-a", "plain", 0);
            for (var i = 0; i < 3; i++) {
                t.replica("i-m" + i, "model", i).workMs = WORK_MS;
                t.startEdge(i);
            }
            t.order("POST /configuration/replace", "0", TestCluster.configuration(3, ""));
            t.awaitReady(0, 1, 2);
            var pool = Executors.newCachedThreadPool();
            for (var i = 0; i < jobs; i++) {
                t.operator(
                        i % 3,
                        "POST /jobs/j" + i + "/submit",
                        "",
                        "{\"Hostname\":\"cluster.example\",\"Path\":\"/r/stream\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\"10,40\"},\"DueMs\":"
                                + (SECONDS * 1000 + 10_000)
                                + ",\"Region\":\""
                                + List.of("north", "south", "west").get(i % 3)
                                + "\"}");
            }
            var t0 = System.nanoTime();
            var n = 0;
            for (var s = 0; s < SECONDS; s++) {
                for (var k = 0; k < rate(s); k++) {
                    var id = "q" + n++;
                    var edge = n % 3;
                    pool.execute(() -> one(t, f, edge, id));
                    Thread.sleep(
                            Math.max(
                                    0,
                                    (long) (s * 1000 + (k + 1) * 1000.0 / rate(s))
                                            - (System.nanoTime() - t0) / 1_000_000));
                }
            }
            pool.shutdown();
            pool.awaitTermination(15, TimeUnit.SECONDS);
            f.busy = t.replicas.stream().mapToLong(r -> r.busyMs.sum()).sum();
            count(t, f, jobs, t0);
        }
        return f;
    }

    private static void one(TestCluster t, Figures f, int edge, String id) {
        var s = System.nanoTime();
        var r = t.request(edge, "/o/stream", id, "X-Model: m\r\nX-Token-Usage: 10,40\r\n", "p");
        if (r.status == 200 && r.whole) {
            f.quick.add((System.nanoTime() - s) / 1_000_000);
        } else {
            f.bad.incrementAndGet();
        }
    }

    private static void count(TestCluster t, Figures f, int jobs, long t0) {
        var end = System.nanoTime() + 15_000_000_000L;
        var l = t.operator(0, "GET /jobs", "", "").body;
        while (l.contains("\"waiting\"") || l.contains("\"running\"")) {
            l = t.operator(0, "GET /jobs", "", "").body;
            if (System.nanoTime() > end) {
                break;
            }
        }
        f.lastMs = (System.nanoTime() - t0) / 1_000_000;
        f.done = l.split("\"State\":\"done\"", -1).length - 1;
        f.other = jobs - f.done;
    }
}
