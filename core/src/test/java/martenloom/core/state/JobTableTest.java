package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Base64;
import java.util.List;
import java.util.Optional;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobState;
import martenloom.common.jobs.JobUrgency;
import org.junit.jupiter.api.Test;

/** The states of a job and the fence, without any program around them. */
final class JobTableTest {
    private ClusterState s = ClusterState.founded(List.of("a"));

    private int go(ClusterState.Act a, long fence, String id, RecordWriter body, long at) {
        return go(
                a,
                fence,
                id,
                Optional.ofNullable(s.jobTable.jobs.get(id)).map(j -> j.attempts()).orElse(0),
                body,
                at);
    }

    private int go(
            ClusterState.Act a, long fence, String id, long run, RecordWriter body, long at) {
        var o =
                s.decide(
                        new ClusterState.Change(
                                        a,
                                        fence,
                                        id,
                                        Base64.getEncoder().encodeToString(body.bytes()))
                                .stamped(at)
                                .versioned(run));
        s = o.next.orElse(s);
        return o.status;
    }

    private void duty(String holder) {
        s =
                s.decide(
                                new ClusterState.Change(
                                        ClusterState.Act.DUTY,
                                        Optional.ofNullable(s.duties.get("jobs/north"))
                                                .map(d -> d.grant)
                                                .orElse(0L),
                                        "jobs/north",
                                        holder))
                        .next
                        .get();
    }

    private int submit(String id, boolean repeatable, String text) {
        var j = new Job();
        j.setId(id);
        j.setRegion("north");
        j.setRetriable(repeatable);
        j.setBody(text.getBytes());
        j.setDigest(text);
        j.setDeadlineUs(60_000_000);
        var o = new RecordWriter();
        JobCodec.write(j, o);
        return go(ClusterState.Act.JOB_SUBMIT, 0, id, o, 1000);
    }

    private JobState state(String id) {
        return s.jobTable.jobs.get(id).state();
    }

    private static RecordWriter kept(String last, int from, String more) {
        return new RecordWriter().text(last).i32(from).blob(more.getBytes());
    }

    private static RecordWriter done(int from, String more) {
        return new RecordWriter().i32(200).i32(from).blob(more.getBytes());
    }

    @Test
    void aFormerHolderCanNeitherStartNorFinish() {
        duty("x");
        submit("j", true, "t");
        assertEquals(200, go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 2000));
        duty("y");
        assertEquals(409, go(ClusterState.Act.JOB_DONE, 1, "j", done(0, "old"), 3000));
        assertEquals(409, go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 3000));
        assertEquals(200, go(ClusterState.Act.JOB_START, 2, "j", new RecordWriter(), 3000));
        assertEquals(200, go(ClusterState.Act.JOB_DONE, 2, "j", done(0, "new"), 4000));
        assertEquals(409, go(ClusterState.Act.JOB_DONE, 2, "j", done(0, "twice"), 4000));
        assertEquals(
                "new",
                s.decide(new ClusterState.Change(ClusterState.Act.JOB_RESULT, 0, "j", "")).text);
    }

    @Test
    void whatMayHaveRunAndMayNotRunAgainBecomesUncertain() {
        duty("x");
        submit("j", false, "t");
        submit("k", false, "t");
        go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 2000);
        go(ClusterState.Act.JOB_START, 1, "k", new RecordWriter(), 2000);
        go(ClusterState.Act.JOB_BACK, 1, "k", new RecordWriter().u8(0).text("no room"), 2500);
        assertEquals(JobState.WAITING, state("k"), "what did not run may wait again");
        duty("y");
        go(ClusterState.Act.JOB_START, 2, "j", new RecordWriter(), 3000);
        assertEquals(JobState.UNCERTAIN, state("j"));
    }

    @Test
    void keptPiecesAreTakenOnceHoweverOftenTheyAreSent() {
        duty("x");
        submit("j", true, "t");
        go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 2000);
        assertEquals(200, go(ClusterState.Act.JOB_KEEP, 1, "j", kept("3", 0, "abc"), 2100));
        assertEquals(200, go(ClusterState.Act.JOB_KEEP, 1, "j", kept("3", 0, "abc"), 2200));
        assertEquals(409, go(ClusterState.Act.JOB_KEEP, 1, "j", kept("9", 1, "zz"), 2200));
        assertEquals(409, go(ClusterState.Act.JOB_DONE, 1, "j", done(0, "def"), 2300));
        assertEquals(200, go(ClusterState.Act.JOB_DONE, 1, "j", done(3, "def"), 2300));
        assertEquals(
                "abcdef",
                s.decide(new ClusterState.Change(ClusterState.Act.JOB_RESULT, 0, "j", "")).text);
    }

    @Test
    void cancellingRacesCompletionToOneOutcome() {
        duty("x");
        submit("j", true, "t");
        submit("k", true, "t");
        go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 2000);
        go(ClusterState.Act.JOB_START, 1, "k", new RecordWriter(), 2000);
        assertEquals(200, go(ClusterState.Act.JOB_CANCEL, 0, "j", new RecordWriter(), 2100));
        assertEquals(409, go(ClusterState.Act.JOB_DONE, 1, "j", done(0, "x"), 2200));
        assertEquals(JobState.CANCELLED, state("j"));
        go(ClusterState.Act.JOB_DONE, 1, "k", done(0, "x"), 2200);
        assertEquals(409, go(ClusterState.Act.JOB_CANCEL, 0, "k", new RecordWriter(), 2300));
        assertEquals(JobState.DONE, state("k"));
    }

    @Test
    void aLateCopyOfARunnersWordNeverActsOnALaterRun() {
        duty("x");
        submit("j", false, "t");
        assertEquals(200, go(ClusterState.Act.JOB_START, 1, "j", 0, new RecordWriter(), 2000));
        var back = new RecordWriter().u8(0).text("no room");
        assertEquals(200, go(ClusterState.Act.JOB_BACK, 1, "j", 1, back, 2100));
        assertEquals(
                409,
                go(ClusterState.Act.JOB_START, 1, "j", 0, new RecordWriter(), 2200),
                "a copy of the first start");
        assertEquals(JobState.WAITING, state("j"));
        assertEquals(200, go(ClusterState.Act.JOB_START, 1, "j", 1, new RecordWriter(), 2300));
        assertEquals(
                409,
                go(ClusterState.Act.JOB_BACK, 1, "j", 1, back, 2400),
                "a copy that gave the first run back");
        assertEquals(409, go(ClusterState.Act.JOB_DONE, 1, "j", 1, done(0, "first"), 2400));
        assertEquals(JobState.RUNNING, state("j"), "what may not be repeated runs once at a time");
        assertEquals(200, go(ClusterState.Act.JOB_DONE, 1, "j", 2, done(0, "second"), 2500));
    }

    @Test
    void limitsAreStated() {
        for (var i = 0; i < JobTable.MOST_JOBS; i++) {
            assertEquals(200, submit("n" + i, true, "t"));
        }
        assertEquals(429, submit("more", true, "t"));
        assertEquals(200, submit("n5", true, "t"), "a known one is still known");
        s = ClusterState.founded(List.of("a"));
        assertEquals(413, submit("big", true, "x".repeat(JobTable.MOST_BODY + 1)));
        var k = 0;
        while (submit("b" + k, true, "x".repeat(JobTable.MOST_BODY - 10)) == 200) {
            k++;
        }
        assertEquals(JobTable.MOST_BYTES / JobTable.MOST_BODY, k);
    }

    @Test
    void theClockEndsWhatIsPastDueAndForgetsOldEnds() {
        submit("j", true, "t");
        go(ClusterState.Act.JOB_CLOCK, 0, "", new RecordWriter(), 59_000_000);
        assertEquals(JobState.WAITING, state("j"));
        go(ClusterState.Act.JOB_CLOCK, 0, "", new RecordWriter(), 70_000_000);
        assertEquals(JobState.EXPIRED, state("j"));
        go(ClusterState.Act.JOB_CLOCK, 0, "", new RecordWriter(), 5_000);
        assertEquals(70_000_000, s.jobTable.clockUs, "the clock does not go back");
        go(
                ClusterState.Act.JOB_CLOCK,
                0,
                "",
                new RecordWriter(),
                80_000_000 + JobTable.RESULT_AGE_US);
        assertTrue(s.jobTable.jobs.isEmpty());
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
        duty("x");
        submit("j", true, "t");
        go(ClusterState.Act.JOB_START, 1, "j", new RecordWriter(), 2000);
        assertArrayEquals(s.bytes(), ClusterState.of(s.bytes()).bytes());
    }
}
