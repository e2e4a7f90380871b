package martenloom.pantry.state;

import static org.junit.jupiter.api.Assertions.*;

import java.util.*;
import martenloom.galley.jobs.*;
import martenloom.galley.record.*;
import org.junit.jupiter.api.*;

/** The states of a job and the fence, without any program around them. */
final class JobBookTest {
    private CoreState s = CoreState.founded(List.of("a"));

    private int go(CoreState.Act a, long fence, String id, Rec.Out body, long at) {
        var o = s.decide(new CoreState.Change(a, fence, id, Base64.getEncoder().encodeToString(body.bytes())).stamped(at));
        s = o.next.orElse(s);
        return o.status;
    }

    private void duty(String holder) {
        s = s.decide(new CoreState.Change(CoreState.Act.DUTY, 0, "jobs/north", holder)).next.get();
    }

    private int submit(String id, boolean repeatable, String text) {
        var j = new Job();
        j.id = id;
        j.region = "north";
        j.repeatable = repeatable;
        j.body = text.getBytes();
        j.digest = text;
        j.dueUs = 60_000_000;
        var o = new Rec.Out();
        j.write(o);
        return go(CoreState.Act.JOB_SUBMIT, 0, id, o, 1000);
    }

    private Job.State state(String id) {
        return s.book.jobs.get(id).state;
    }

    private static Rec.Out kept(String last, int from, String more) {
        return new Rec.Out().text(last).i32(from).blob(more.getBytes());
    }

    private static Rec.Out done(int from, String more) {
        return new Rec.Out().i32(200).i32(from).blob(more.getBytes());
    }

    @Test
    void aFormerHolderCanNeitherStartNorFinish() {
        duty("x");
        submit("j", true, "t");
        assertEquals(200, go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 2000));
        duty("y");
        assertEquals(409, go(CoreState.Act.JOB_DONE, 1, "j", done(0, "old"), 3000));
        assertEquals(409, go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 3000));
        assertEquals(200, go(CoreState.Act.JOB_START, 2, "j", new Rec.Out(), 3000));
        assertEquals(200, go(CoreState.Act.JOB_DONE, 2, "j", done(0, "new"), 4000));
        assertEquals(409, go(CoreState.Act.JOB_DONE, 2, "j", done(0, "twice"), 4000));
        assertEquals("new", s.decide(new CoreState.Change(CoreState.Act.JOB_RESULT, 0, "j", "")).text);
    }

    @Test
    void whatMayHaveRunAndMayNotRunAgainBecomesUncertain() {
        duty("x");
        submit("j", false, "t");
        submit("k", false, "t");
        go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 2000);
        go(CoreState.Act.JOB_START, 1, "k", new Rec.Out(), 2000);
        go(CoreState.Act.JOB_BACK, 1, "k", new Rec.Out().u8(0).text("no room"), 2500);
        assertEquals(Job.State.WAITING, state("k"), "what did not run may wait again");
        duty("y");
        go(CoreState.Act.JOB_START, 2, "j", new Rec.Out(), 3000);
        assertEquals(Job.State.UNCERTAIN, state("j"));
    }

    @Test
    void keptPiecesAreTakenOnceHoweverOftenTheyAreSent() {
        duty("x");
        submit("j", true, "t");
        go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 2000);
        assertEquals(200, go(CoreState.Act.JOB_KEEP, 1, "j", kept("3", 0, "abc"), 2100));
        assertEquals(200, go(CoreState.Act.JOB_KEEP, 1, "j", kept("3", 0, "abc"), 2200));
        assertEquals(409, go(CoreState.Act.JOB_KEEP, 1, "j", kept("9", 1, "zz"), 2200));
        assertEquals(409, go(CoreState.Act.JOB_DONE, 1, "j", done(0, "def"), 2300));
        assertEquals(200, go(CoreState.Act.JOB_DONE, 1, "j", done(3, "def"), 2300));
        assertEquals("abcdef", s.decide(new CoreState.Change(CoreState.Act.JOB_RESULT, 0, "j", "")).text);
    }

    @Test
    void cancellingRacesCompletionToOneOutcome() {
        duty("x");
        submit("j", true, "t");
        submit("k", true, "t");
        go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 2000);
        go(CoreState.Act.JOB_START, 1, "k", new Rec.Out(), 2000);
        assertEquals(200, go(CoreState.Act.JOB_CANCEL, 0, "j", new Rec.Out(), 2100));
        assertEquals(409, go(CoreState.Act.JOB_DONE, 1, "j", done(0, "x"), 2200));
        assertEquals(Job.State.CANCELLED, state("j"));
        go(CoreState.Act.JOB_DONE, 1, "k", done(0, "x"), 2200);
        assertEquals(409, go(CoreState.Act.JOB_CANCEL, 0, "k", new Rec.Out(), 2300));
        assertEquals(Job.State.DONE, state("k"));
    }

    @Test
    void limitsAreStated() {
        for (var i = 0; i < JobBook.MOST_JOBS; i++) {
            assertEquals(200, submit("n" + i, true, "t"));
        }
        assertEquals(429, submit("more", true, "t"));
        assertEquals(200, submit("n5", true, "t"), "a known one is still known");
        s = CoreState.founded(List.of("a"));
        assertEquals(413, submit("big", true, "x".repeat(JobBook.MOST_BODY + 1)));
        var k = 0;
        while (submit("b" + k, true, "x".repeat(JobBook.MOST_BODY - 10)) == 200) {
            k++;
        }
        assertEquals(JobBook.MOST_BYTES / JobBook.MOST_BODY, k);
    }

    @Test
    void theClockEndsWhatIsPastDueAndForgetsOldEnds() {
        submit("j", true, "t");
        go(CoreState.Act.JOB_CLOCK, 0, "", new Rec.Out(), 59_000_000);
        assertEquals(Job.State.WAITING, state("j"));
        go(CoreState.Act.JOB_CLOCK, 0, "", new Rec.Out(), 70_000_000);
        assertEquals(Job.State.EXPIRED, state("j"));
        go(CoreState.Act.JOB_CLOCK, 0, "", new Rec.Out(), 5_000);
        assertEquals(70_000_000, s.book.clockUs, "the clock does not go back");
        go(CoreState.Act.JOB_CLOCK, 0, "", new Rec.Out(), 80_000_000 + JobBook.RESULT_AGE_US);
        assertTrue(s.book.jobs.isEmpty());
    }

    @Test
    void urgencyRisesStepByStep() {
        var h = 3_600_000_000L;
        assertEquals(0, Job.urgency(h * 6 / 10, h));
        assertEquals(1, Job.urgency(h * 4 / 10, h));
        assertEquals(2, Job.urgency(h / 10, h));
        assertEquals(2, Job.urgency(15_000_000, h));
        assertEquals(3, Job.urgency(4_000_000, h));
    }

    @Test
    void theStateReadsBackWithItsJobs() {
        duty("x");
        submit("j", true, "t");
        go(CoreState.Act.JOB_START, 1, "j", new Rec.Out(), 2000);
        assertArrayEquals(s.bytes(), CoreState.of(s.bytes()).bytes());
    }
}
