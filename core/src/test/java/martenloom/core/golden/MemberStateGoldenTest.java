package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobState;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;
import martenloom.core.state.Command.AddMember;
import martenloom.core.state.Command.AdvanceJobClock;
import martenloom.core.state.Command.AppendJobOutput;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.FinishJob;
import martenloom.core.state.Command.GetJob;
import martenloom.core.state.Command.GetJobResult;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.ListJobs;
import martenloom.core.state.Command.MarkDeparting;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReadJobResult;
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
import martenloom.core.state.CommandCodec;
import martenloom.core.state.CommandType;
import martenloom.core.state.ReplicaTarget;
import martenloom.core.state.StampedCommand;
import org.junit.jupiter.api.Test;

/**
 * Holds the bytes of the replicated state, of what a member keeps on disk, and of every kind of
 * change to the state.
 */
final class MemberStateGoldenTest {
    private static final String STATES = "states.txt";
    private static final String CHANGES = "changes.txt";

    /** Each state by its name in the recorded file. */
    private static Map<String, byte[]> writtenStates() {
        var states = new LinkedHashMap<String, byte[]>();
        var founded = ClusterState.founded(List.of("10.0.0.1", "10.1.0.1"));
        states.put("core state, founded", founded.bytes());
        states.put("core state, every part filled", FilledState.build().bytes());
        states.put(
                "member state, founded",
                new PersistentMemberState(Ballot.ZERO, Ballot.ZERO, founded).encode());
        states.put("member state, every part filled", filledMember().encode());
        states.put("core state, media type of a result", FilledState.withMediaType().bytes());
        return states;
    }

    private static PersistentMemberState filledMember() {
        return new PersistentMemberState(
                new Ballot(12, "10.1.0.1"), new Ballot(11, "10.0.0.1"), FilledState.build());
    }

    /** Each command as the daemons send it, by its name in the recorded file. */
    private static Map<String, StampedCommand> changes() {
        var changes = new LinkedHashMap<String, StampedCommand>();
        changes.put("replace configuration", stamped(new ReplaceConfiguration(7, JSON)));
        changes.put("update configuration", stamped(new UpdateConfiguration(8, JSON)));
        changes.put("start evacuation", stamped(new StartEvacuation("north-a")).acceptedOn(3));
        changes.put("finish evacuation", stamped(new FinishEvacuation("north-a")).acceptedOn(4));
        changes.put("grant lease", stamped(new GrantLease("scale/north", 5, "10.1.2.2#9")));
        changes.put("add member", stamped(new AddMember("10.3.0.1")));
        changes.put("read configuration", stamped(new ReadConfiguration()));
        jobCommands(changes);
        changes.put(
                "scale to a count",
                stamped(new SetReplicaCount("north/m", 6, 11, "2\nn2\nn3")).surveyed(SURVEY));
        changes.put(
                "scale to all",
                stamped(new SetReplicaCount("north/m", 6, 12, "all")).surveyed(SURVEY));
        changes.put(
                "unload model",
                stamped(new SetPlacement("south/m", Placing.UNLOAD))
                        .surveyed(SURVEY)
                        .acceptedOn(1));
        changes.put(
                "load model",
                stamped(new SetPlacement("south/m", Placing.LOAD)).surveyed(SURVEY).acceptedOn(2));
        changes.put("remove member", stamped(new RemoveMember("10.3.0.1")));
        changes.put("leave soon", stamped(new MarkDeparting("10.2.0.1", Urgency.CAN_WAIT)));
        changes.put("leave now", stamped(new MarkDeparting("10.2.0.1", Urgency.IMMEDIATE)));
        changes.put(
                "change that nobody accepted",
                StampedCommand.of(new ReplaceConfiguration(0, JSON)));
        return changes;
    }

    private static void jobCommands(Map<String, StampedCommand> changes) {
        changes.put("submit job", stamped(new SubmitJob("job-1", job())));
        changes.put("get job", stamped(new GetJob("job-1")));
        changes.put("list jobs", stamped(new ListJobs()));
        changes.put("get result of job", stamped(new GetJobResult("job-1")));
        changes.put("confirm result of job", stamped(new ConfirmJobResult("job-1")));
        changes.put("cancel job", stamped(new CancelJob("job-1")));
        changes.put("start job", stamped(new StartJob("job-1", 6, 2, "10.1.2.2")));
        var output = body(new RecordWriter().text("event-3").i32(10).blob(PART));
        changes.put(
                "keep part of result of job", stamped(new AppendJobOutput("job-1", 6, 3, output)));
        var completion = body(new RecordWriter().i32(200).i32(15).blob(PART));
        changes.put("finish job", stamped(new FinishJob("job-1", 6, 3, completion)));
        var failure = body(new RecordWriter().u8(1).text("it was let go, süd"));
        changes.put("give job back", stamped(new ReturnJob("job-1", 6, 3, failure)));
        changes.put("advance clock of jobs", stamped(new AdvanceJobClock()));
        changes.put("read result of job", stamped(new ReadJobResult("job-1")));
        var typed = body(new RecordWriter().i32(200).i32(15).blob(PART).text("image/png"));
        changes.put("finish job with its media type", stamped(new FinishJob("job-1", 6, 3, typed)));
    }

    private static final String JSON = "{\"Revision\":9,\"Routes\":[],\"Name\":\"süd\"}";
    private static final String SURVEY = "m north n1 n2 n3\nm south s1";
    private static final byte[] PART = "a part of a result".getBytes(StandardCharsets.UTF_8);
    private static final long JOB_CLOCK_US = 1_234_567_890_123L;

    private static StampedCommand stamped(Command command) {
        return StampedCommand.of(command).stampedAt(JOB_CLOCK_US);
    }

    private static String body(RecordWriter fields) {
        return Base64.getEncoder().encodeToString(fields.bytes());
    }

    /** A submitted job as the control API writes it. */
    private static String job() {
        var job = new Job();
        job.setId("job-1");
        job.setRegion("north");
        job.setHost("h.example");
        job.setPath("/a/b");
        job.setBody(PART);
        job.setDeadlineUs(60_000_000);
        var fields = new RecordWriter();
        JobCodec.write(job, fields);
        return body(fields);
    }

    private static Map<String, byte[]> writtenChanges() {
        var written = new LinkedHashMap<String, byte[]>();
        changes().forEach((name, change) -> written.put(name, bytes(change)));
        return written;
    }

    private static byte[] bytes(StampedCommand command) {
        var out = new RecordWriter();
        CommandCodec.write(out, command);
        return out.bytes();
    }

    @Test
    void statesAreWrittenAsRecorded() {
        GoldenFile.assertRecorded(GoldenFile.read(STATES), writtenStates());
    }

    @Test
    void recordedStatesAreReadAndWrittenAgain() {
        GoldenFile.read(STATES)
                .forEach(
                        (name, recorded) ->
                                GoldenFile.assertSameBytes(
                                        name,
                                        recorded,
                                        name.startsWith("core state")
                                                ? ClusterState.of(recorded).bytes()
                                                : PersistentMemberState.decode(recorded).encode()));
    }

    @Test
    void noPartOfTheFilledStateIsEmpty() {
        var recorded = GoldenFile.read(STATES).get("member state, every part filled");
        var member = PersistentMemberState.decode(recorded);
        assertEquals(new Ballot(12, "10.1.0.1"), member.promised());
        assertEquals(new Ballot(11, "10.0.0.1"), member.accepted());
        var state = member.state();
        assertEquals(
                List.of("10.0.0.1", "10.1.0.1", "10.2.0.1", "10.3.0.1"), state.roster().members());
        assertEquals(Set.of("10.2.0.1", "10.3.0.1"), state.roster().departed());
        assertEquals(2, state.configuration().revision());
        assertTrue(
                state.configuration().json().contains("h.example"), state.configuration().json());
        assertTrue(state.configuration().json().contains("second"), state.configuration().json());
        assertTrue(
                state.configuration().routingText().contains("h.example"),
                state.configuration().routingText());
        assertEquals(2, state.configuration().applied().size());
        assertEquals(Set.of("north-a"), state.evacuations().zones());
        assertEquals(
                Set.of("jobs/north", "scale/north", "scale/south"),
                state.leases().byRole().keySet());
        assertEquals(2, state.leases().byRole().get("scale/south").fencingToken());
        assertEquals("10.1.2.2#9", state.leases().byRole().get("scale/south").holder());
        assertEquals(
                new ReplicaTarget(1, false, 1, Set.of("n2", "n3")),
                state.scaling().targets().get("north/m"));
        assertEquals(
                new ReplicaTarget(0, true, 0, Set.of()), state.scaling().targets().get("south/m"));
        assertEquals(
                Map.of("north-a", 1L, "south-b", 2L), state.evacuations().versions().bySubject());
        assertEquals(
                Map.of("south/m", 1L, "west/m", 1L),
                state.scaling().placementVersions().bySubject());
        assertEquals(Map.of("north/m", (1L << 32) + 5), state.scaling().scalerOrders().bySubject());
        assertEquals(9_000_000, state.jobs().clockUs());
        assertEquals(
                EnumSet.allOf(JobState.class),
                state.jobs().byId().values().stream()
                        .map(job -> job.state())
                        .collect(Collectors.toSet()));
        var running = state.jobs().byId().get("job-running");
        assertEquals("event-3", running.lastEventId());
        assertEquals(10, running.checkpoint().length);
        assertEquals("first, second", new String(state.jobs().byId().get("job-done").result()));
        assertTrue(state.jobs().byId().get("job-confirmed").confirmed());
        assertEquals("no room, süd", state.jobs().byId().get("job-back").reason());
    }

    @Test
    void changesAreWrittenAsRecorded() {
        var acts = EnumSet.noneOf(CommandType.class);
        changes().values().forEach(change -> acts.add(change.command().type()));
        assertEquals(EnumSet.allOf(CommandType.class), acts);
        GoldenFile.assertRecorded(GoldenFile.read(CHANGES), writtenChanges());
    }

    @Test
    void recordedChangesAreReadAndWrittenAgain() {
        GoldenFile.read(CHANGES)
                .forEach(
                        (name, bytes) ->
                                GoldenFile.assertSameBytes(
                                        name,
                                        bytes,
                                        bytes(CommandCodec.read(new RecordReader(bytes, false)))));
    }

    @Test
    void recordedChangesAreReadWithAllTheirFields() {
        var recorded = GoldenFile.read(CHANGES);
        changes()
                .forEach(
                        (name, change) ->
                                assertEquals(
                                        change,
                                        CommandCodec.read(
                                                new RecordReader(recorded.get(name), false)),
                                        name));
    }

    @Test
    void aRecordedScaleOrderHasItsFields() {
        var recorded = GoldenFile.read(CHANGES).get("scale to a count");
        var change = CommandCodec.read(new RecordReader(recorded, false));
        assertEquals(CommandType.SET_REPLICA_COUNT, change.command().type());
        var order = (SetReplicaCount) change.command();
        assertEquals(6, order.fencingToken());
        assertEquals("north/m", order.deployment());
        assertEquals("2\nn2\nn3", order.order());
        assertEquals(JOB_CLOCK_US, change.jobClockUs());
        assertEquals(SURVEY, change.survey());
        assertEquals(11, order.sequence());
    }
}
