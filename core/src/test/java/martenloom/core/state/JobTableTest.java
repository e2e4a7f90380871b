package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobState;
import martenloom.common.jobs.JobUrgency;
import martenloom.core.state.Command.AdvanceJobClock;
import martenloom.core.state.Command.AppendJobOutput;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.FinishJob;
import martenloom.core.state.Command.GetJobResult;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.ReturnJob;
import martenloom.core.state.Command.StartJob;
import martenloom.core.state.Command.SubmitJob;
import org.junit.jupiter.api.Test;

/** The states of a job and the fencing of its runners, without any program around them. */
final class JobTableTest {
    private static final String ROLE = "jobs/north";
    private static final int NOT_RUN = 0;

    private ClusterState state = ClusterState.founded(List.of("a"));

    private ResultCode take(Command command, long atUs) {
        var result = state.decide(StampedCommand.of(command).stampedAt(atUs));
        state = result.next().orElse(state);
        return result.code();
    }

    private void grant(String holder) {
        var grant = new GrantLease(ROLE, state.leases().newestToken(ROLE), holder);
        assertEquals(ResultCode.OK, take(grant, 0));
    }

    private ResultCode submit(String id, boolean repeatable, String text) {
        var job = new Job();
        job.setId(id);
        job.setRegion("north");
        job.setRetriable(repeatable);
        job.setBody(text.getBytes(StandardCharsets.UTF_8));
        job.setDigest(text);
        job.setDeadlineUs(60_000_000);
        var out = new RecordWriter();
        JobCodec.write(job, out);
        return take(new SubmitJob(id, base64(out)), 1000);
    }

    /** Starts the run after those that the job has had. */
    private ResultCode start(String id, long fencingToken, long atUs) {
        return start(id, fencingToken, runs(id), atUs);
    }

    private ResultCode start(String id, long fencingToken, long run, long atUs) {
        return take(new StartJob(id, fencingToken, run, ""), atUs);
    }

    private ResultCode append(
            String id, long fencingToken, String lastEvent, int offset, String more, long atUs) {
        var out = new RecordWriter().text(lastEvent).i32(offset).blob(bytes(more));
        return take(new AppendJobOutput(id, fencingToken, runs(id), base64(out)), atUs);
    }

    private ResultCode finish(String id, long fencingToken, int offset, String more, long atUs) {
        return finish(id, fencingToken, runs(id), offset, more, atUs);
    }

    private ResultCode finish(
            String id, long fencingToken, long run, int offset, String more, long atUs) {
        var out = new RecordWriter().i32(200).i32(offset).blob(bytes(more));
        return take(new FinishJob(id, fencingToken, run, base64(out)), atUs);
    }

    private ResultCode giveBack(String id, long fencingToken, long run, long atUs) {
        var out = new RecordWriter().u8(NOT_RUN).text("no room");
        return take(new ReturnJob(id, fencingToken, run, base64(out)), atUs);
    }

    private int runs(String id) {
        return state.jobs().find(id).map(job -> job.attempts()).orElse(0);
    }

    private JobState stateOf(String id) {
        return state.jobs().byId().get(id).state();
    }

    private String result(String id) {
        return state.decide(StampedCommand.of(new GetJobResult(id))).text();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String base64(RecordWriter out) {
        return Base64.getEncoder().encodeToString(out.bytes());
    }

    @Test
    void aFormerHolderCanNeitherStartNorFinish() {
        grant("x");
        submit("j", true, "t");
        assertEquals(ResultCode.OK, start("j", 1, 2000));
        grant("y");
        assertEquals(ResultCode.CONFLICT, finish("j", 1, 0, "old", 3000));
        assertEquals(ResultCode.CONFLICT, start("j", 1, 3000));
        assertEquals(ResultCode.OK, start("j", 2, 3000));
        assertEquals(ResultCode.OK, finish("j", 2, 0, "new", 4000));
        assertEquals(ResultCode.CONFLICT, finish("j", 2, 0, "twice", 4000));
        assertEquals("new", result("j"));
    }

    @Test
    void whatMayHaveRunAndMayNotRunAgainBecomesUncertain() {
        grant("x");
        submit("j", false, "t");
        submit("k", false, "t");
        start("j", 1, 2000);
        start("k", 1, 2000);
        giveBack("k", 1, runs("k"), 2500);
        assertEquals(JobState.WAITING, stateOf("k"), "what did not run may wait again");
        grant("y");
        start("j", 2, 3000);
        assertEquals(JobState.UNCERTAIN, stateOf("j"));
    }

    @Test
    void keptPiecesAreTakenOnceHoweverOftenTheyAreSent() {
        grant("x");
        submit("j", true, "t");
        start("j", 1, 2000);
        assertEquals(ResultCode.OK, append("j", 1, "3", 0, "abc", 2100));
        assertEquals(ResultCode.OK, append("j", 1, "3", 0, "abc", 2200));
        assertEquals(ResultCode.CONFLICT, append("j", 1, "9", 1, "zz", 2200));
        assertEquals(ResultCode.CONFLICT, finish("j", 1, 0, "def", 2300));
        assertEquals(ResultCode.OK, finish("j", 1, 3, "def", 2300));
        assertEquals("abcdef", result("j"));
    }

    @Test
    void cancellingRacesCompletionToOneOutcome() {
        grant("x");
        submit("j", true, "t");
        submit("k", true, "t");
        start("j", 1, 2000);
        start("k", 1, 2000);
        assertEquals(ResultCode.OK, take(new CancelJob("j"), 2100));
        assertEquals(ResultCode.CONFLICT, finish("j", 1, 0, "x", 2200));
        assertEquals(JobState.CANCELLED, stateOf("j"));
        finish("k", 1, 0, "x", 2200);
        assertEquals(ResultCode.CONFLICT, take(new CancelJob("k"), 2300));
        assertEquals(JobState.DONE, stateOf("k"));
    }

    @Test
    void aLateCopyOfARunnersWordNeverActsOnALaterRun() {
        grant("x");
        submit("j", false, "t");
        assertEquals(ResultCode.OK, start("j", 1, 0, 2000));
        assertEquals(ResultCode.OK, giveBack("j", 1, 1, 2100));
        assertEquals(ResultCode.CONFLICT, start("j", 1, 0, 2200), "a copy of the first start");
        assertEquals(JobState.WAITING, stateOf("j"));
        assertEquals(ResultCode.OK, start("j", 1, 1, 2300));
        assertEquals(
                ResultCode.CONFLICT,
                giveBack("j", 1, 1, 2400),
                "a copy that gave the first run back");
        assertEquals(ResultCode.CONFLICT, finish("j", 1, 1, 0, "first", 2400));
        assertEquals(
                JobState.RUNNING, stateOf("j"), "what may not be repeated runs once at a time");
        assertEquals(ResultCode.OK, finish("j", 1, 2, 0, "second", 2500));
    }

    @Test
    void limitsAreStated() {
        for (var i = 0; i < JobTable.MAX_JOBS; i++) {
            assertEquals(ResultCode.OK, submit("n" + i, true, "t"));
        }
        assertEquals(ResultCode.LIMIT_REACHED, submit("more", true, "t"));
        assertEquals(ResultCode.OK, submit("n5", true, "t"), "a known one is still known");
        state = ClusterState.founded(List.of("a"));
        assertEquals(
                ResultCode.TOO_LARGE, submit("big", true, "x".repeat(JobTable.MAX_JOB_BYTES + 1)));
        var k = 0;
        while (submit("b" + k, true, "x".repeat(JobTable.MAX_JOB_BYTES - 10)) == ResultCode.OK) {
            k++;
        }
        assertEquals(
                JobTable.MAX_TABLE_BYTES
                        / (JobTable.MAX_JOB_BYTES + JobTable.RESERVED_RESULT_BYTES),
                k);
    }

    /** Guards against jobs whose results find no room when they come. */
    @Test
    void roomForTheResultsIsReservedAtTheSubmission() {
        grant("x");
        var accepted = 0;
        while (submit("j" + accepted, true, "x".repeat(JobTable.MAX_JOB_BYTES - 100))
                == ResultCode.OK) {
            accepted++;
        }
        var result = "r".repeat(JobTable.RESERVED_RESULT_BYTES);
        for (var i = 0; i < accepted; i++) {
            assertEquals(ResultCode.OK, start("j" + i, 1, 2000));
            assertEquals(ResultCode.OK, finish("j" + i, 1, 0, result, 2100));
            assertEquals(JobState.DONE, stateOf("j" + i));
        }
        assertEquals(accepted, state.jobs().byId().size());
        assertTrue(state.jobs().reservedBytes() <= JobTable.MAX_TABLE_BYTES);
    }

    /** A result over what was reserved takes only what others do not need. */
    @Test
    void aResultOverItsReservationIsKeptWhileThereIsRoomAndFailsElse() {
        grant("x");
        submit("first", true, "t");
        var large = "r".repeat(JobTable.MAX_JOB_AND_OUTPUT_BYTES - 100);
        start("first", 1, 2000);
        finish("first", 1, 0, large, 2100);
        assertEquals(JobState.DONE, stateOf("first"));
        var jobs = 0;
        while (submit("j" + jobs, true, "t") == ResultCode.OK) {
            jobs++;
        }
        var failed = 0;
        for (var i = 0; i < jobs; i++) {
            start("j" + i, 1, 2000);
            finish("j" + i, 1, 0, large, 2100);
            failed += stateOf("j" + i) == JobState.FAILED ? 1 : 0;
            assertTrue(state.jobs().reservedBytes() <= JobTable.MAX_TABLE_BYTES);
        }
        assertTrue(failed > 0);
    }

    @Test
    void theClockEndsWhatIsPastDueAndForgetsOldEnds() {
        submit("j", true, "t");
        take(new AdvanceJobClock(), 59_000_000);
        assertEquals(JobState.WAITING, stateOf("j"));
        take(new AdvanceJobClock(), 70_000_000);
        assertEquals(JobState.EXPIRED, stateOf("j"));
        take(new AdvanceJobClock(), 5_000);
        assertEquals(70_000_000, state.jobs().clockUs(), "the clock does not go back");
        take(new AdvanceJobClock(), 80_000_000 + JobTable.RETENTION_US);
        assertTrue(state.jobs().byId().isEmpty());
    }

    @Test
    void urgencyRisesStepByStep() {
        var h = 3_600_000_000L;
        assertEquals(0, JobUrgency.of(h * 6 / 10, h));
        assertEquals(1, JobUrgency.of(h * 4 / 10, h));
        assertEquals(2, JobUrgency.of(h / 10, h));
        assertEquals(2, JobUrgency.of(15_000_000, h));
        assertEquals(3, JobUrgency.of(4_000_000, h));
    }

    @Test
    void theStateReadsBackWithItsJobs() {
        grant("x");
        submit("j", true, "t");
        start("j", 1, 2000);
        assertArrayEquals(state.bytes(), ClusterState.of(state.bytes()).bytes());
    }
}
