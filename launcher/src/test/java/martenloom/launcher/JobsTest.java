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
 * Deferred jobs as whole programs: every job ends in exactly one stated outcome, counted at the
 * stand-in replicas and at the submitter, whatever is killed on the way.
 */
final class JobsTest {
    @TempDir Path dir;

    private static String job(String path, int dueMs, String body) {
        return "{\"Hostname\":\"cluster.example\",\"Path\":\""
                + path
                + "\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\"10,40\",\"X-Prompt-Prefix\":\"aa:5,bb:5\"},\"Body\":\""
                + body
                + "\",\"DueMs\":"
                + dueMs
                + ",\"Region\":\"north\"}";
    }

    private static int submit(TestCluster t, int core, String id, String body) {
        return t.operator(core, "POST /jobs/" + id + "/submit", "", body).status;
    }

    private static String await(TestCluster t, int core, String id, String state) {
        var end = System.nanoTime() + 30_000_000_000L;
        var d = t.operator(core, "GET /jobs/" + id + "/describe", "", "").body;
        while (!d.contains("\"State\":\"" + state + "\"") && System.nanoTime() < end) {
            d = t.operator(core, "GET /jobs/" + id + "/describe", "", "").body;
        }
        return d;
    }

    private static int runs(TestCluster t, String id) {
        return t.replicas.stream()
                .mapToInt(
                        r ->
                                r.runs.entrySet().stream()
                                        .filter(e -> e.getKey().startsWith("job-" + id + "-"))
                                        .mapToInt(e -> e.getValue().get())
                                        .sum())
                .sum();
    }

    private static TestCluster cluster(Path dir, int net) {
        var t = new TestCluster(dir, net, 3);
        t.replica("i-a", "plain", 0);
        t.replica("i-m1", "model", 0);
        t.replica("i-m2", "model", 0);
        t.startEdge(0);
        t.startEdge(3);
        assertEquals(
                200, t.order("POST /configuration/replace", "0", TestCluster.configuration(3, "")));
        t.awaitReady(0, 3);
        return t;
    }

    @Test
    void aJobIsTakenOnceRunOnceAndFetchedOnce() {
        try (var t = cluster(dir, 81)) {
            var x =
                    CompletableFuture.supplyAsync(
                            () -> submit(t, 0, "j1", job("/r/stream", 60000, "p")));
            var y =
                    CompletableFuture.supplyAsync(
                            () -> submit(t, 1, "j1", job("/r/stream", 60000, "p")));
            assertEquals(200, x.join());
            assertEquals(200, y.join());
            assertEquals(409, submit(t, 2, "j1", job("/r/stream", 60000, "other")));
            assertTrue(
                    await(t, 0, "j1", "done").contains("\"Status\":200"), t.ask(t.core(0), "jobs"));
            var r = t.operator(2, "GET /jobs/j1/result", "", "");
            assertEquals(
                    "1,2,3,4,5,6,7,8,",
                    r.body.replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,"));
            assertEquals(1, runs(t, "j1"));
            assertEquals(200, t.operator(1, "POST /jobs/j1/confirm", "", "").status);
            assertEquals(200, t.operator(1, "POST /jobs/j1/confirm", "", "").status);
            assertEquals(410, t.operator(0, "GET /jobs/j1/result", "", "").status);
            assertTrue(t.operator(0, "GET /jobs", "", "").body.contains("\"Id\":\"j1\""));
        }
    }

    @Test
    void whatCannotBeKeptIsRefusedByName() {
        try (var t = cluster(dir, 82)) {
            assertEquals(404, submit(t, 0, "n1", job("/none/x", 60000, "p")));
            assertEquals(422, submit(t, 0, "n2", job("/r/stream", 0, "p")));
            assertEquals(413, submit(t, 0, "n3", job("/r/stream", 60000, "x".repeat(300_000))));
            assertEquals(400, submit(t, 0, "n4", "{\"Path\":\"/r/x\"}"));
            assertEquals(
                    400,
                    submit(t, 0, "n5", job("/r/stream", 60000, "p").replace("X-Model", "X Model")));
            var r = t.operator(0, "POST /jobs/n6/submit", "", job("/home/x", 60000, "p"));
            assertEquals(422, r.status);
            assertTrue(r.body.contains("AllowedRegions"), r.body);
            assertEquals(404, t.operator(0, "GET /jobs/n1/describe", "", "").status);
            assertEquals("{\"Jobs\":[]}", t.operator(0, "GET /jobs", "", "").body);
        }
    }

    @Test
    void aCutStreamGoesOnAndItsResultIsWhole() {
        try (var t = cluster(dir, 83)) {
            t.replicas.get(1).mode = StandInReplica.Mode.CUT_STREAM;
            for (var i = 0; i < 4; i++) {
                assertEquals(200, submit(t, 0, "c" + i, job("/r/stream", 60000, "p" + i)));
            }
            for (var i = 0; i < 4; i++) {
                assertTrue(await(t, 0, "c" + i, "done").contains("done"), t.ask(t.core(0), "jobs"));
                assertEquals(
                        "1,2,3,4,5,6,7,8,",
                        t.operator(0, "GET /jobs/c" + i + "/result", "", "")
                                .body
                                .replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,"));
            }
        }
    }

    @Test
    void aLostRunnerIsFollowedAndNothingThatMayHaveRunRunsAgain() {
        try (var t = cluster(dir, 84)) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.SILENT);
            assertEquals(200, submit(t, 0, "once", job("/once/x", 60000, "p")));
            assertEquals(200, submit(t, 0, "again", job("/r/stream", 60000, "p")));
            assertTrue(await(t, 0, "once", "running").contains("running at"));
            var d = await(t, 0, "again", "running");
            for (var end = System.nanoTime() + 10_000_000_000L;
                    runs(t, "once") + runs(t, "again") < 2 && System.nanoTime() < end; ) {}
            var holder = d.replaceAll("(?s).*running at ([0-9.]+).*", "$1");
            t.kill(holder);
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            assertTrue(
                    await(t, 0, "once", "uncertain").contains("may have run"),
                    t.ask(t.core(0), "jobs"));
            assertTrue(await(t, 0, "again", "done").contains("done"), t.ask(t.core(0), "jobs"));
            assertEquals(1, runs(t, "once"));
            assertEquals(409, t.operator(0, "GET /jobs/once/result", "", "").status);
        }
    }

    @Test
    void jobsOutliveARestartOfTheWholeCoreAndAWipedDisk() {
        try (var t = cluster(dir, 85)) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.NOT_RUN);
            assertEquals(200, submit(t, 0, "k1", job("/r/stream", 90000, "p")));
            assertEquals(200, submit(t, 0, "k2", job("/r/stream", 90000, "q")));
            assertEquals(200, t.operator(1, "POST /jobs/k2/cancel", "", "").status);
            for (var i = 0; i < 3; i++) {
                t.kill(t.core(i));
            }
            t.wipe(2);
            for (var i = 0; i < 3; i++) {
                t.startCore(i, false);
            }
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            assertTrue(await(t, 0, "k1", "done").contains("done"), t.ask(t.core(0), "jobs"));
            assertTrue(await(t, 1, "k2", "cancelled").contains("cancelled"));
            assertEquals(0, runs(t, "k2"));
        }
    }

    @Test
    void aCutCoreTakesNothingAndLosesNothing() {
        try (var t = cluster(dir, 87)) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.SILENT);
            assertEquals(200, submit(t, 0, "cut1", job("/r/stream", 90000, "p")));
            assertTrue(await(t, 0, "cut1", "running").contains("running at"));
            t.kill(t.core(1));
            t.kill(t.core(2));
            assertEquals(
                    503,
                    submit(t, 0, "cut2", job("/r/stream", 90000, "q")),
                    "one of three acknowledges nothing");
            assertTrue(t.askUntil(t.edge(0), "jobs", "held false").contains("held false"));
            assertTrue(t.askUntil(t.edge(3), "jobs", "held false").contains("held false"));
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            t.startCore(1, false);
            t.startCore(2, false);
            assertTrue(
                    await(t, 0, "cut1", "done").contains("done"),
                    t.ask(t.core(0), "jobs") + t.ask(t.edge(0), "jobs") + t.ask(t.edge(3), "jobs"));
            var r = t.operator(1, "GET /jobs/cut1/result", "", "");
            assertEquals(
                    "1,2,3,4,5,6,7,8,",
                    r.body.replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,"));
        }
    }

    @Test
    void aHolderLostBeforeOrAfterARunChangesNoOutcome() {
        try (var t = cluster(dir, 88)) {
            assertEquals(200, submit(t, 0, "after", job("/once/x", 90000, "p")));
            assertTrue(await(t, 0, "after", "done").contains("done"));
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.NOT_RUN);
            assertEquals(200, submit(t, 0, "before", job("/once/x", 90000, "q")));
            var l = t.askUntil(t.core(0), "leases", "jobs/north");
            t.kill(l.replaceAll("(?s).*jobs/north grant \\d+ holder ([0-9.]+)#.*", "$1"));
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            var d = await(t, 0, "before", "done");
            assertTrue(d.contains("\"done\"") || d.contains("\"uncertain\""), d);
            assertTrue(runs(t, "before") <= 1 && runs(t, "after") == 1);
            assertTrue(await(t, 1, "after", "done").contains("done"));
            assertEquals(
                    "done by plain for job-after-1-1",
                    t.operator(0, "GET /jobs/after/result", "", "").body);
        }
    }

    @Test
    void jobsOutliveARestartOfEverything() {
        try (var t = cluster(dir, 89)) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.SILENT);
            assertEquals(200, submit(t, 0, "e1", job("/r/stream", 90000, "p")));
            assertTrue(await(t, 0, "e1", "running").contains("running at"));
            for (var i = 0; i < 3; i++) {
                t.kill(t.core(i));
            }
            t.kill(t.edge(0));
            t.kill(t.edge(3));
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.WELL);
            for (var i = 0; i < 3; i++) {
                t.startCore(i, false);
            }
            t.startEdge(0);
            t.startEdge(3);
            assertTrue(await(t, 0, "e1", "done").contains("done"), t.ask(t.core(0), "jobs"));
            assertEquals(
                    "1,2,3,4,5,6,7,8,",
                    t.operator(0, "GET /jobs/e1/result", "", "")
                            .body
                            .replaceAll("(?s)id: (\\d+)\ndata: piece \\d+\n\n", "$1,"));
        }
    }

    @Test
    void aDueTimePassesInTheOpen() {
        try (var t = cluster(dir, 86)) {
            t.replicas.forEach(r -> r.mode = StandInReplica.Mode.NOT_RUN);
            assertEquals(200, submit(t, 0, "late", job("/r/stream", 1500, "p")));
            assertTrue(
                    await(t, 0, "late", "expired").contains("due time passed"),
                    t.ask(t.core(0), "jobs"));
            assertEquals(0, runs(t, "late"));
            assertEquals(409, t.operator(0, "POST /jobs/late/cancel", "", "").status);
        }
    }
}
