package martenloom.common.jobs;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded bytes and text of a deferred job. */
final class JobGoldenTest {
    private final GoldenBytes golden = new GoldenBytes("job.txt");

    // ---- the values

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Job waitingJob() {
        var job = new Job();
        job.setId("job-1");
        job.setRegion("north");
        job.setMethod("POST");
        job.setHost("cluster.example");
        job.setPath("/chat/long?depth=2");
        job.setHeaderFields(
                List.of("Content-Type: text/plain", "X-Prompt-Prefix: shared-part:400"));
        job.setBody(utf8("summarise this"));
        job.setDigest("00ff");
        job.setRetriable(true);
        job.setSubmittedUs(1_000_000);
        job.setDeadlineUs(61_000_000);
        return job;
    }

    private static Job endedJob(JobState state) {
        var job = waitingJob();
        job.setRetriable(false);
        job.setResumable(true);
        job.setState(state);
        job.setFencingToken(9);
        job.setAttempts(3);
        job.setLastEventId("event-17");
        job.setCheckpoint(utf8("kept "));
        job.setStatus(200);
        job.setResult(utf8("the result"));
        job.setConfirmed(true);
        job.setEndedUs(44_000_000);
        job.setReason("a \"quoted\" reason\nof two lines");
        return job;
    }

    private static byte[] encoded(Job job) {
        var out = new RecordWriter();
        JobCodec.write(job, out);
        return out.bytes();
    }

    private Job decoded(String name) {
        return JobCodec.read(new RecordReader(golden.bytes(name), false));
    }

    // ---- the checks

    @Test
    void jobsAreEncodedAsRecorded() {
        golden.check("default", encoded(new Job()));
        golden.check("waiting", encoded(waitingJob()));
        for (var state : JobState.values()) {
            golden.check("state." + state.label(), encoded(endedJob(state)));
        }
        golden.check("json.waiting", utf8(JobJson.render(waitingJob(), 2_500_000)));
        golden.check("json.done", utf8(JobJson.render(endedJob(JobState.DONE), 2_500_000)));
    }

    @Test
    void recordedJobsAreDecodedAndEncodedAgain() {
        golden.check("default", encoded(decoded("default")));
        golden.check("waiting", encoded(decoded("waiting")));
        for (var state : JobState.values()) {
            golden.check("state." + state.label(), encoded(decoded("state." + state.label())));
            assertEquals(state, decoded("state." + state.label()).state());
        }
        var job = decoded("state.done");
        assertEquals("job-1", job.id());
        assertEquals(2, job.headerFields().size());
        assertEquals("shared-part", job.promptPrefix());
        assertArrayEquals(utf8("summarise this"), job.body());
        assertTrue(job.resumable() && job.confirmed() && !job.retriable());
        assertEquals(9, job.fencingToken());
        assertEquals(61_000_000, job.deadlineUs());
        assertArrayEquals(utf8("the result"), job.result());
        golden.check("state.done", encoded(job.copy()));
    }
}
