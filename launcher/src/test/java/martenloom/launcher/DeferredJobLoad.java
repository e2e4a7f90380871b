package martenloom.launcher;

import java.io.IOException;
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
 * martenloom.launcher.DeferredJobLoad
 */
public final class DeferredJobLoad {
    private static final int DURATION_S = 40;
    private static final int BUSY_UNTIL_S = 12;
    private static final int BUSY_FROM_S = 28;
    private static final int BUSY_REQUESTS_PER_S = 70;
    private static final int QUIET_REQUESTS_PER_S = 15;
    private static final int ROUNDS = 2;
    private static final int JOBS = 90;
    private static final int JOB_SLACK_MS = 10_000;
    private static final int EXECUTION_MS = 200;
    private static final int LAST_REQUESTS_TIMEOUT_S = 15;
    private static final long LAST_JOBS_TIMEOUT_NS = 15_000_000_000L;
    private static final int PLACES = 24;
    private static final int MS_PER_S = 1_000;
    private static final int PERCENT = 100;
    private static final int HIGH_PERCENTILE = 99;
    private static final long NS_PER_MS = 1_000_000;
    private static final List<String> REGIONS = List.of("north", "south", "west");

    private final List<Long> latenciesMs = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger failures = new AtomicInteger();
    private final int jobs;
    private long busyMs;
    private int jobsDone;
    private long lastJobMs;

    private DeferredJobLoad(int jobs) {
        this.jobs = jobs;
    }

    /** Measures in turn without and with deferred jobs and prints a line for each. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        for (var round = 0; round < ROUNDS; round++) {
            measure("without jobs", 0);
            measure("with jobs", JOBS);
        }
        System.exit(0);
    }

    private static void measure(String title, int jobs) throws IOException, InterruptedException {
        var load = new DeferredJobLoad(jobs);
        load.run();
        load.print(title);
    }

    private void print(String title) {
        var sorted = new ArrayList<>(latenciesMs);
        Collections.sort(sorted);
        System.out.printf(
                "%-14s interactive %d, bad %d, p50 %d ms, p99 %d ms; replicas busy %.2f; jobs done"
                        + " %d, other %d, last after %d ms%n",
                title,
                sorted.size(),
                failures.get(),
                sorted.get(sorted.size() / 2),
                sorted.get(sorted.size() * HIGH_PERCENTILE / PERCENT),
                busyMs / (double) MS_PER_S / DURATION_S / PLACES,
                jobsDone,
                jobs - jobsDone,
                lastJobMs);
    }

    /** Interactive requests a second in this second: busy, then quiet, then busy. */
    private static int requestsPerSecond(int second) {
        return second < BUSY_UNTIL_S || second >= BUSY_FROM_S
                ? BUSY_REQUESTS_PER_S
                : QUIET_REQUESTS_PER_S;
    }

    private void run() throws IOException, InterruptedException {
        try (var cluster =
                TestCluster.in(Files.createTempDirectory("load"))
                        .replica("i-a", "plain", 0)
                        .replica("i-m0", "model", 0)
                        .replica("i-m1", "model", 1)
                        .replica("i-m2", "model", 2)
                        .edges(0, 1, 2)
                        .start()) {
            cluster.replicas().stream()
                    .filter(replica -> replica.service().equals("model"))
                    .forEach(replica -> replica.executionMs(EXECUTION_MS));
            submitJobs(cluster);
            var beganNs = System.nanoTime();
            sendRequests(cluster, beganNs);
            busyMs = cluster.replicas().stream().mapToLong(replica -> replica.busyMs()).sum();
            awaitJobs(cluster, beganNs);
        }
    }

    private void submitJobs(TestCluster cluster) {
        for (var i = 0; i < jobs; i++) {
            var region = i % REGIONS.size();
            cluster.control()
                    .post(
                            region,
                            "/jobs/j" + i + "/submit",
                            "{\"Hostname\":\"cluster.example\",\"Path\":\"/r/stream\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\"10,40\"},\"DueMs\":"
                                    + (DURATION_S * MS_PER_S + JOB_SLACK_MS)
                                    + ",\"Region\":\""
                                    + REGIONS.get(region)
                                    + "\"}");
        }
    }

    private void sendRequests(TestCluster cluster, long beganNs) throws InterruptedException {
        var pool = Executors.newCachedThreadPool();
        var sent = 0;
        for (var second = 0; second < DURATION_S; second++) {
            var rate = requestsPerSecond(second);
            for (var i = 0; i < rate; i++) {
                var attempt = "q" + sent++;
                var edge = sent % REGIONS.size();
                pool.execute(() -> request(cluster, edge, attempt));
                var dueMs = second * MS_PER_S + (i + 1) * (double) MS_PER_S / rate;
                var passedMs = (System.nanoTime() - beganNs) / NS_PER_MS;
                Thread.sleep(Math.max(0, (long) dueMs - passedMs));
            }
        }
        pool.shutdown();
        pool.awaitTermination(LAST_REQUESTS_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void request(TestCluster cluster, int edge, String attempt) {
        var beganNs = System.nanoTime();
        var reply = cluster.prompt(edge, "/o/stream", attempt);
        if (reply.status() == 200 && reply.complete()) {
            latenciesMs.add((System.nanoTime() - beganNs) / NS_PER_MS);
        } else {
            failures.incrementAndGet();
        }
    }

    private void awaitJobs(TestCluster cluster, long beganNs) {
        var end = System.nanoTime() + LAST_JOBS_TIMEOUT_NS;
        var list = cluster.control().get(0, "/jobs").body();
        while ((list.contains("\"waiting\"") || list.contains("\"running\""))
                && System.nanoTime() <= end) {
            list = cluster.control().get(0, "/jobs").body();
        }
        lastJobMs = (System.nanoTime() - beganNs) / NS_PER_MS;
        jobsDone = list.split("\"State\":\"done\"", -1).length - 1;
    }
}
