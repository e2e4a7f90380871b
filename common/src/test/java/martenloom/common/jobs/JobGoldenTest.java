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
        job.id = "job-1";
        job.region = "north";
        job.method = "POST";
        job.host = "cluster.example";
        job.path = "/chat/long?depth=2";
        job.fields = List.of("Content-Type: text/plain", "X-Prompt-Prefix: shared-part:400");
        job.body = utf8("summarise this");
        job.digest = "00ff";
        job.repeatable = true;
        job.submittedUs = 1_000_000;
        job.dueUs = 61_000_000;
        return job;
    }

    private static Job endedJob(Job.State state) {
        var job = waitingJob();
        job.repeatable = false;
        job.resumable = true;
        job.state = state;
        job.fence = 9;
        job.runs = 3;
        job.lastEvent = "event-17";
        job.kept = utf8("kept ");
        job.status = 200;
        job.result = utf8("the result");
        job.confirmed = true;
        job.endedUs = 44_000_000;
        job.why = "a \"quoted\" reason\nof two lines";
        return job;
    }

    private static byte[] encoded(Job job) {
        var out = new RecordWriter();
        job.write(out);
        return out.bytes();
    }

    private Job decoded(String name) {
        return Job.read(new RecordReader(golden.bytes(name), false));
    }

    // ---- the checks

    @Test
    void jobsAreEncodedAsRecorded() {
        golden.check("default", encoded(new Job()));
        golden.check("waiting", encoded(waitingJob()));
        for (var state : Job.State.values()) {
            golden.check("state." + state.word(), encoded(endedJob(state)));
        }
        golden.check("json.waiting", utf8(waitingJob().json(2_500_000)));
        golden.check("json.done", utf8(endedJob(Job.State.DONE).json(2_500_000)));
    }

    @Test
    void recordedJobsAreDecodedAndEncodedAgain() {
        golden.check("default", encoded(decoded("default")));
        golden.check("waiting", encoded(decoded("waiting")));
        for (var state : Job.State.values()) {
            golden.check("state." + state.word(), encoded(decoded("state." + state.word())));
            assertEquals(state, decoded("state." + state.word()).state);
        }
        var job = decoded("state.done");
        assertEquals("job-1", job.id);
        assertEquals(2, job.fields.size());
        assertEquals("shared-part", job.prefix());
        assertArrayEquals(utf8("summarise this"), job.body);
        assertTrue(job.resumable && job.confirmed && !job.repeatable);
        assertEquals(9, job.fence);
        assertEquals(61_000_000, job.dueUs);
        assertArrayEquals(utf8("the result"), job.result);
        golden.check("state.done", encoded(job.copy()));
    }
}
