package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import martenloom.launcher.harness.EventStream;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.ShellAnswers;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Deferred jobs on whole daemons: every job ends in exactly one stated outcome, counted at the
 * stand-in replicas and at the submitter, whatever is killed on the way.
 */
final class DeferredJobsTest {
    private static final int CORES = 3;
    private static final long STATE_TIMEOUT_NS = 30_000_000_000L;
    private static final long EXECUTION_TIMEOUT_NS = 10_000_000_000L;
    private static final int DUE_MS = 60_000;
    private static final int LATE_DUE_MS = 90_000;
    private static final int SOON_DUE_MS = 1_500;
    private static final int LARGE_RESULT_BYTES = 250_000;
    private static final int BACKLOG = 60;
    private static final int USUAL_REVISION = 3;
    private static final int LONG_EXECUTION_MS = 7_000;
    private static final int IMAGE_BYTES = 40_000;
    private static final int TOO_LARGE_BYTES = 300_000;

    @TempDir private Path dir;
    @AutoClose private TestCluster cluster;

    @BeforeEach
    void startCluster() {
        cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replicas("model", 0, "i-m1", "i-m2")
                        .edges(0, 3)
                        .start();
    }

    private static String job(String path, int dueMs, String body) {
        return "{\"Hostname\":\"cluster.example\",\"Path\":\""
                + path
                + "\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\"10,40\",\"X-Prompt-Prefix\":\"aa:5,bb:5\"},\"Body\":\""
                + body
                + "\",\"DueMs\":"
                + dueMs
                + ",\"Region\":\"north\"}";
    }

    private int submit(int core, String id, String job) {
        return cluster.control().post(core, "/jobs/" + id + "/submit", job).status();
    }

    private HttpReply result(int core, String id) {
        return cluster.control().get(core, "/jobs/" + id + "/result");
    }

    private String describe(int core, String id) {
        return cluster.control().get(core, "/jobs/" + id + "/describe").body();
    }

    /** Asks until the job is in this state, or for 30 s; gives the last description. */
    private String describeUntil(int core, String id, String state) {
        var end = System.nanoTime() + STATE_TIMEOUT_NS;
        var description = describe(core, id);
        while (!description.contains("\"State\":\"" + state + "\"") && System.nanoTime() < end) {
            description = describe(core, id);
        }
        return description;
    }

    private void assertReaches(int core, String id, String state, String text) {
        var description = describeUntil(core, id, state);
        assertTrue(
                description.contains(text),
                () -> description + cluster.ask(cluster.core(0), "jobs"));
    }

    private void assertDone(int core, String id) {
        assertReaches(core, id, "done", "done");
    }

    private void assertCompleteStream(int core, String id) {
        assertEquals(EventStream.ALL_IDS, EventStream.ids(result(core, id).body()));
    }

    private int executions(String id) {
        return cluster.replicas().stream()
                .mapToInt(replica -> replica.executionsOf("job-" + id + "-"))
                .sum();
    }

    private void killCores() {
        for (var i = 0; i < CORES; i++) {
            cluster.kill(cluster.core(i));
        }
    }

    private void startCores() {
        for (var i = 0; i < CORES; i++) {
            cluster.startCore(i);
        }
    }

    @Test
    void aJobIsAcceptedOnceExecutedOnceAndFetchedOnce() {
        var job = job("/r/stream", DUE_MS, "p");
        var first = CompletableFuture.supplyAsync(() -> submit(0, "j1", job));
        var second = CompletableFuture.supplyAsync(() -> submit(1, "j1", job));
        assertEquals(200, first.join());
        assertEquals(200, second.join());
        assertEquals(409, submit(2, "j1", job("/r/stream", DUE_MS, "other")));
        assertReaches(0, "j1", "done", "\"Status\":200");
        assertCompleteStream(2, "j1");
        assertEquals(1, executions("j1"));
        assertEquals(200, cluster.control().post(1, "/jobs/j1/confirm").status());
        assertEquals(200, cluster.control().post(1, "/jobs/j1/confirm").status());
        assertEquals(410, result(0, "j1").status());
        assertTrue(cluster.control().get(0, "/jobs").body().contains("\"Id\":\"j1\""));
    }

    /** Guards against an image that arrives with other bytes than its replica sent. */
    @Test
    void aResultHasTheBytesAndTheMediaTypeOfItsResponse() {
        var image = new byte[IMAGE_BYTES];
        new Random(1).nextBytes(image);
        cluster.replica("i-a").respondWithImage(image);
        assertEquals(200, submit(0, "image", job("/safe/x", DUE_MS, "p")));
        assertDone(0, "image");
        for (var core = 0; core < CORES; core++) {
            var reply = result(core, "image");
            assertArrayEquals(image, reply.content());
            assertEquals("image/png", reply.field("Content-Type"));
        }
        killCores();
        startCores();
        assertDone(1, "image");
        assertArrayEquals(image, result(1, "image").content());
        assertEquals("image/png", result(1, "image").field("Content-Type"));
    }

    /** Guards against results that silence the core, and a member that cannot be taught them. */
    @Test
    void aBacklogOfLargeResultsIsKeptAndTaughtToAMemberThatLostItsDisk() {
        cluster.replica("i-a").responseBytes(LARGE_RESULT_BYTES);
        for (var i = 0; i < BACKLOG; i++) {
            assertEquals(200, submit(i % CORES, "b" + i, job("/safe/x", LATE_DUE_MS, "p")));
        }
        for (var i = 0; i < BACKLOG; i++) {
            assertDone(0, "b" + i);
        }
        cluster.kill(cluster.core(2));
        cluster.wipeDisk(2);
        cluster.startCore(2);
        cluster.awaitView(0, 1, 2);
        assertEquals(
                200,
                cluster.control().replaceConfiguration(USUAL_REVISION, TestConfiguration.of(4)));
        cluster.kill(cluster.core(0));
        for (var i = 0; i < BACKLOG; i++) {
            assertDone(2, "b" + i);
            var reply = result(2, "b" + i);
            assertEquals(200, reply.status());
            assertEquals(LARGE_RESULT_BYTES, reply.content().length);
        }
    }

    @Test
    void whatCannotBeKeptIsRejectedWithTheReason() {
        assertEquals(404, submit(0, "n1", job("/none/x", DUE_MS, "p")));
        assertEquals(422, submit(0, "n2", job("/r/stream", 0, "p")));
        assertEquals(413, submit(0, "n3", job("/r/stream", DUE_MS, "x".repeat(TOO_LARGE_BYTES))));
        assertEquals(400, submit(0, "n4", "{\"Path\":\"/r/x\"}"));
        var badField = job("/r/stream", DUE_MS, "p").replace("X-Model", "X Model");
        assertEquals(400, submit(0, "n5", badField));
        var elsewhere = job("/home/x", DUE_MS, "p");
        var rejected = cluster.control().post(0, "/jobs/n6/submit", elsewhere);
        assertEquals(422, rejected.status());
        assertTrue(rejected.body().contains("AllowedRegions"), rejected.body());
        assertEquals(404, cluster.control().get(0, "/jobs/n1/describe").status());
        assertEquals("{\"Jobs\":[]}", cluster.control().get(0, "/jobs").body());
    }

    @Test
    void aCutStreamIsResumedAndItsResultIsComplete() {
        cluster.replica("i-m1").fault(ReplicaFault.CUT_STREAM);
        for (var i = 0; i < 4; i++) {
            assertEquals(200, submit(0, "c" + i, job("/r/stream", DUE_MS, "p" + i)));
        }
        for (var i = 0; i < 4; i++) {
            assertDone(0, "c" + i);
            assertCompleteStream(0, "c" + i);
        }
    }

    @Test
    void aLostRunnerIsSucceededAndNothingThatMayHaveBeenExecutedIsExecutedAgain() {
        cluster.faultOfAll(ReplicaFault.SILENT);
        assertEquals(200, submit(0, "once", job("/once/x", DUE_MS, "p")));
        assertEquals(200, submit(0, "again", job("/r/stream", DUE_MS, "p")));
        assertReaches(0, "once", "running", "running at");
        var running = describeUntil(0, "again", "running");
        var end = System.nanoTime() + EXECUTION_TIMEOUT_NS;
        while (executions("once") + executions("again") < 2 && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        cluster.kill(running.replaceAll("(?s).*running at ([0-9.]+).*", "$1"));
        cluster.faultOfAll(ReplicaFault.NONE);
        assertReaches(0, "once", "uncertain", "may have run");
        assertDone(0, "again");
        assertEquals(1, executions("once"));
        assertEquals(409, result(0, "once").status());
    }

    /** Guards against a job that is given up though neither its runner nor its replica is lost. */
    @Test
    void aJobThatMayRunOnceOutlastsACoreWithoutAHead() {
        var replica = cluster.replica("i-a");
        replica.executionMs(LONG_EXECUTION_MS);
        assertEquals(200, submit(0, "once", job("/once/x", DUE_MS, "p")));
        assertReaches(0, "once", "running", "running at");
        killCores();
        for (var edge : new int[] {0, 3}) {
            cluster.askUntil(cluster.edge(edge), "jobs", text -> text.contains("held false"));
        }
        startCores();
        assertReaches(0, "once", "done", "\"Status\":200");
        assertEquals(1, executions("once"));
    }

    @Test
    void jobsSurviveARestartOfAllCoreDaemonsAndAWipedDisk() {
        cluster.faultOfAll(ReplicaFault.NOT_EXECUTED);
        assertEquals(200, submit(0, "k1", job("/r/stream", LATE_DUE_MS, "p")));
        assertEquals(200, submit(0, "k2", job("/r/stream", LATE_DUE_MS, "q")));
        assertEquals(200, cluster.control().post(1, "/jobs/k2/cancel").status());
        killCores();
        cluster.wipeDisk(2);
        startCores();
        cluster.faultOfAll(ReplicaFault.NONE);
        assertDone(0, "k1");
        assertReaches(1, "k2", "cancelled", "cancelled");
        assertEquals(0, executions("k2"));
    }

    @Test
    void aCoreWithoutAMajorityAcceptsNothingAndLosesNothing() {
        cluster.faultOfAll(ReplicaFault.SILENT);
        assertEquals(200, submit(0, "cut1", job("/r/stream", LATE_DUE_MS, "p")));
        assertReaches(0, "cut1", "running", "running at");
        cluster.kill(cluster.core(1));
        cluster.kill(cluster.core(2));
        assertEquals(
                503,
                submit(0, "cut2", job("/r/stream", LATE_DUE_MS, "q")),
                "one of three acknowledges nothing");
        cluster.assertShown(cluster.edge(0), "jobs", "held false");
        cluster.assertShown(cluster.edge(3), "jobs", "held false");
        cluster.faultOfAll(ReplicaFault.NONE);
        cluster.startCore(1);
        cluster.startCore(2);
        assertDone(0, "cut1");
        assertCompleteStream(1, "cut1");
    }

    @Test
    void aLeaseHolderLostBeforeOrAfterAnExecutionChangesNoOutcome() {
        assertEquals(200, submit(0, "after", job("/once/x", LATE_DUE_MS, "p")));
        assertDone(0, "after");
        cluster.faultOfAll(ReplicaFault.NOT_EXECUTED);
        assertEquals(200, submit(0, "before", job("/once/x", LATE_DUE_MS, "q")));
        var leases = cluster.askUntil(cluster.core(0), "leases", "jobs/north");
        cluster.kill(ShellAnswers.leaseHolder(leases, "jobs/north"));
        cluster.faultOfAll(ReplicaFault.NONE);
        var outcome = describeUntil(0, "before", "done");
        assertTrue(outcome.contains("\"done\"") || outcome.contains("\"uncertain\""), outcome);
        assertTrue(executions("before") <= 1 && executions("after") == 1);
        assertDone(1, "after");
        assertEquals("done by plain for job-after-1-1", result(0, "after").body());
    }

    @Test
    void jobsSurviveARestartOfEveryDaemon() {
        cluster.faultOfAll(ReplicaFault.SILENT);
        assertEquals(200, submit(0, "e1", job("/r/stream", LATE_DUE_MS, "p")));
        assertReaches(0, "e1", "running", "running at");
        killCores();
        cluster.kill(cluster.edge(0));
        cluster.kill(cluster.edge(3));
        cluster.faultOfAll(ReplicaFault.NONE);
        startCores();
        cluster.startEdge(0);
        cluster.startEdge(3);
        assertDone(0, "e1");
        assertCompleteStream(0, "e1");
    }

    @Test
    void aJobThatIsNotExecutedByItsDueTimeExpires() {
        cluster.faultOfAll(ReplicaFault.NOT_EXECUTED);
        assertEquals(200, submit(0, "late", job("/r/stream", SOON_DUE_MS, "p")));
        assertReaches(0, "late", "expired", "due time passed");
        assertEquals(0, executions("late"));
        assertEquals(409, cluster.control().post(0, "/jobs/late/cancel").status());
    }
}
