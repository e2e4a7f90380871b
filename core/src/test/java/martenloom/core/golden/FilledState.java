package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.AddMember;
import martenloom.core.state.Command.AdvanceJobClock;
import martenloom.core.state.Command.AppendJobOutput;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.FinishJob;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.RemoveMember;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.ReturnJob;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.core.state.Command.StartJob;
import martenloom.core.state.Command.SubmitJob;
import martenloom.core.state.Command.UpdateConfiguration;
import martenloom.core.state.Command.Urgency;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;
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

    /** A state with a result that has a media type. */
    static ClusterState withMediaType() {
        var filled = new FilledState();
        filled.duties();
        filled.submit("job-image", true, LONG_TIME_US);
        filled.run("job-image");
        var completion = done(0, "an image").text("image/png");
        filled.take(new FinishJob("job-image", GRANT, 1, base64(completion)), ENDED_AT_US);
        return filled.state;
    }

    private void members() {
        order(new AddMember("10.3.0.1"));
        order(new AddMember("10.4.0.1"));
        order(new RemoveMember("10.4.0.1"));
        order(new MarkDeparting("10.2.0.1", Urgency.CAN_WAIT));
        order(new MarkDeparting("10.3.0.1", Urgency.IMMEDIATE));
    }

    private void configuration() {
        order(new ReplaceConfiguration(0, CONFIGURATION));
        order(new UpdateConfiguration(1, "{\"Revision\":2,\"Upsert\":{\"Note\":\"second\"}}"));
    }

    private void duties() {
        order(new GrantLease("jobs/north", 0, "10.0.2.1#7"));
        order(new GrantLease("scale/north", 0, "10.0.2.1#7"));
        order(new GrantLease("scale/south", 0, "10.1.2.1#8"));
        order(new GrantLease("scale/south", 1, "10.1.2.2#9"));
    }

    private void evacuations() {
        order(new StartEvacuation("north-a"));
        order(new StartEvacuation("south-b"));
        order(new FinishEvacuation("south-b"));
    }

    private void scales() {
        running.addReplica("s", "north", "n1");
        running.addReplica("s", "north", "n2");
        running.addReplica("s", "north", "n3");
        running.addReplica("s", "south", "s1");
        running.addReplica("s", "west", "w1");
        take(
                StampedCommand.of(new SetReplicaCount("north/m", GRANT, 5, "1\nn2\nn3"))
                        .surveyed(running.encode()));
        order(new SetPlacement("south/m", Placing.UNLOAD));
        order(new SetPlacement("west/m", Placing.LOAD));
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
        take(
                new ReturnJob(
                        "job-back",
                        GRANT,
                        1,
                        base64(new RecordWriter().u8(0).text("no room, süd"))),
                ENDED_AT_US);
        run("job-running");
        take(
                new AppendJobOutput(
                        "job-running", GRANT, 1, base64(kept("event-3", 0, "first part"))),
                ENDED_AT_US);
        run("job-done");
        take(
                new AppendJobOutput("job-done", GRANT, 1, base64(kept("event-4", 0, "first, "))),
                ENDED_AT_US);
        take(new FinishJob("job-done", GRANT, 1, base64(done(7, "second"))), ENDED_AT_US);
        run("job-confirmed");
        take(new FinishJob("job-confirmed", GRANT, 1, base64(done(0, "whole"))), ENDED_AT_US);
        take(new ConfirmJobResult("job-confirmed"), ENDED_AT_US);
        run("job-failed");
        take(
                new ReturnJob(
                        "job-failed",
                        GRANT,
                        1,
                        base64(new RecordWriter().u8(RAN_AND_FAILED).text("status 500"))),
                ENDED_AT_US);
        run("job-uncertain");
        take(
                new ReturnJob(
                        "job-uncertain",
                        GRANT,
                        1,
                        base64(new RecordWriter().u8(MAY_HAVE_RUN).text("link lost"))),
                ENDED_AT_US);
        take(new CancelJob("job-cancelled"), ENDED_AT_US);
        take(new AdvanceJobClock(), CLOCK_AT_US);
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
        take(new SubmitJob(id, base64(out)), SUBMITTED_AT_US);
    }

    private void run(String id) {
        take(new StartJob(id, GRANT, 0, "n1"), STARTED_AT_US);
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

    private void take(Command command, long atUs) {
        take(StampedCommand.of(command).stampedAt(atUs));
    }

    private void order(Command command) {
        take(state.accepted(command).surveyed(running.encode()));
    }

    private void take(StampedCommand command) {
        var result = state.decide(command);
        assertEquals(ResultCode.OK, result.code(), command + ": " + result.text());
        state = result.next().orElseThrow();
    }
}
