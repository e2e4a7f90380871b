package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.core.state.ClusterState;
import martenloom.routing.placement.Placement;

/**
 * Builds, through orders alone, a state in which no part is empty: roster, configuration, applied
 * changes, evacuations, duties, a job in every job state, scales, order versions and a departed
 * member. Every time in it is given, so its bytes are the same on every run.
 */
final class FilledState {
    private static final long SUBMITTED_AT_US = 1_000_000;
    private static final long STARTED_AT_US = 2_000_000;
    private static final long ENDED_AT_US = 3_000_000;
    private static final long CLOCK_AT_US = 9_000_000;
    private static final long SHORT_TIME_US = 5_000_000;
    private static final long LONG_TIME_US = 60_000_000;
    private static final long GRANT = 1;
    private static final int RAN_AND_FAILED = 2;
    private static final int MAY_HAVE_RUN = 1;
    private static final String CONFIGURATION =
            """
            {"Revision":1,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/r/","RouteType":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":800,"Priority":0,"Backend":"s","MaxAttempts":2,"SessionAffinity":true,"Resumable":true,"TargetGapMs":800,
            "AllowedRegions":[]}],"Backends":[{"Name":"s","HealthPath":"/h","MaxConnections":60,"WarmupS":1.0,"WarmupPerS":8.0,
            "InferenceEngine":{"Capacity":8,"CacheTokens":100000,"Models":[{"Name":"m"}]}}]}\
            """;

    private final Placement running = new Placement();
    private ClusterState state = ClusterState.founded(List.of("10.0.0.1", "10.1.0.1", "10.2.0.1"));

    private FilledState() {}

    static ClusterState build() {
        var filled = new FilledState();
        filled.members();
        filled.configuration();
        filled.duties();
        filled.evacuations();
        filled.scales();
        filled.jobs();
        return filled.state;
    }

    private void members() {
        order(ClusterState.Act.ROSTER, 0, "10.3.0.1", "");
        order(ClusterState.Act.ROSTER, 0, "10.4.0.1", "");
        order(ClusterState.Act.ROSTER_OUT, 0, "10.4.0.1", "");
        order(ClusterState.Act.LEAVE, ClusterState.LEAVE_SOON, "10.2.0.1", "");
        order(ClusterState.Act.LEAVE, ClusterState.LEAVE_NOW, "10.3.0.1", "");
    }

    private void configuration() {
        order(ClusterState.Act.REPLACE, 0, "", CONFIGURATION);
        order(ClusterState.Act.UPDATE, 1, "", "{\"Revision\":2,\"Upsert\":{\"Note\":\"second\"}}");
    }

    private void duties() {
        order(ClusterState.Act.DUTY, 0, "jobs/north", "10.0.2.1#7");
        order(ClusterState.Act.DUTY, 0, "scale/north", "10.0.2.1#7");
        order(ClusterState.Act.DUTY, 0, "scale/south", "10.1.2.1#8");
        order(ClusterState.Act.DUTY, 1, "scale/south", "10.1.2.2#9");
    }

    private void evacuations() {
        order(ClusterState.Act.EVAC_START, 0, "north-a", "");
        order(ClusterState.Act.EVAC_START, 0, "south-b", "");
        order(ClusterState.Act.EVAC_FINISH, 0, "south-b", "");
    }

    private void scales() {
        running.addReplica("s", "north", "n1");
        running.addReplica("s", "north", "n2");
        running.addReplica("s", "north", "n3");
        running.addReplica("s", "south", "s1");
        running.addReplica("s", "west", "w1");
        take(
                new ClusterState.Change(ClusterState.Act.SCALE, GRANT, "north/m", "1\nn2\nn3")
                        .versioned(5)
                        .surveyed(running.encode()));
        order(ClusterState.Act.PLACE, 0, "south/m", "unload");
        order(ClusterState.Act.PLACE, 0, "west/m", "load");
    }

    private void jobs() {
        submit("job-waiting", true, LONG_TIME_US);
        submit("job-back", true, LONG_TIME_US);
        submit("job-running", true, LONG_TIME_US);
        submit("job-done", true, LONG_TIME_US);
        submit("job-confirmed", false, LONG_TIME_US);
        submit("job-failed", false, LONG_TIME_US);
        submit("job-uncertain", false, LONG_TIME_US);
        submit("job-cancelled", true, LONG_TIME_US);
        submit("job-expired", true, SHORT_TIME_US);
        run("job-back");
        word(ClusterState.Act.JOB_BACK, "job-back", new RecordWriter().u8(0).text("no room, süd"));
        run("job-running");
        word(ClusterState.Act.JOB_KEEP, "job-running", kept("event-3", 0, "first part"));
        run("job-done");
        word(ClusterState.Act.JOB_KEEP, "job-done", kept("event-4", 0, "first, "));
        word(ClusterState.Act.JOB_DONE, "job-done", done(7, "second"));
        run("job-confirmed");
        word(ClusterState.Act.JOB_DONE, "job-confirmed", done(0, "whole"));
        atTime(ClusterState.Act.JOB_CONFIRM, "job-confirmed", "", ENDED_AT_US);
        run("job-failed");
        word(
                ClusterState.Act.JOB_BACK,
                "job-failed",
                new RecordWriter().u8(RAN_AND_FAILED).text("status 500"));
        run("job-uncertain");
        word(
                ClusterState.Act.JOB_BACK,
                "job-uncertain",
                new RecordWriter().u8(MAY_HAVE_RUN).text("link lost"));
        atTime(ClusterState.Act.JOB_CANCEL, "job-cancelled", "", ENDED_AT_US);
        atTime(ClusterState.Act.JOB_CLOCK, "", "", CLOCK_AT_US);
    }

    private void submit(String id, boolean repeatable, long timeUs) {
        var job = new Job();
        job.setId(id);
        job.setRegion("north");
        job.setMethod("PUT");
        job.setHost("h.example");
        job.setPath("/r/" + id);
        job.setHeaderFields(List.of("x-prompt-prefix: p1:20", "accept: */*"));
        job.setBody(("content of " + id).getBytes(StandardCharsets.UTF_8));
        job.setDigest("digest of " + id);
        job.setRetriable(repeatable);
        job.setResumable(true);
        job.setDeadlineUs(timeUs);
        var out = new RecordWriter();
        JobCodec.write(job, out);
        atTime(ClusterState.Act.JOB_SUBMIT, id, base64(out), SUBMITTED_AT_US);
    }

    private void run(String id) {
        take(
                new ClusterState.Change(ClusterState.Act.JOB_START, GRANT, id, "n1")
                        .stamped(STARTED_AT_US)
                        .versioned(0));
    }

    /** A word of the holder of the duty about the first run of a job. */
    private void word(ClusterState.Act act, String id, RecordWriter body) {
        take(
                new ClusterState.Change(act, GRANT, id, base64(body))
                        .stamped(ENDED_AT_US)
                        .versioned(1));
    }

    private static RecordWriter kept(String lastEvent, int from, String more) {
        return new RecordWriter()
                .text(lastEvent)
                .i32(from)
                .blob(more.getBytes(StandardCharsets.UTF_8));
    }

    private static RecordWriter done(int from, String more) {
        return new RecordWriter().i32(200).i32(from).blob(more.getBytes(StandardCharsets.UTF_8));
    }

    private static String base64(RecordWriter out) {
        return Base64.getEncoder().encodeToString(out.bytes());
    }

    private void atTime(ClusterState.Act act, String subject, String body, long atUs) {
        take(new ClusterState.Change(act, 0, subject, body).stamped(atUs));
    }

    private void order(ClusterState.Act act, long base, String subject, String body) {
        var change = new ClusterState.Change(act, base, subject, body).surveyed(running.encode());
        take(state.accepted(change));
    }

    private void take(ClusterState.Change change) {
        var outcome = state.decide(change);
        assertEquals(200, outcome.status, change.act + ": " + outcome.text);
        state = outcome.next.orElseThrow();
    }
}
