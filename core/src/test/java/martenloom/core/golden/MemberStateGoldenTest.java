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
import martenloom.core.chain.ChainMember;
import martenloom.core.state.ClusterState;
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
                new ChainMember.MemberState(
                                ChainMember.Ballot.ZERO, ChainMember.Ballot.ZERO, founded)
                        .bytes());
        states.put("member state, every part filled", filledMember().bytes());
        return states;
    }

    private static ChainMember.MemberState filledMember() {
        return new ChainMember.MemberState(
                new ChainMember.Ballot(12, "10.1.0.1"),
                new ChainMember.Ballot(11, "10.0.0.1"),
                FilledState.build());
    }

    /** Each change as the daemons send it, by its name in the recorded file. */
    private static Map<String, ClusterState.Change> changes() {
        var changes = new LinkedHashMap<String, ClusterState.Change>();
        changes.put("replace configuration", change(ClusterState.Act.REPLACE, 7, "", JSON));
        changes.put("update configuration", change(ClusterState.Act.UPDATE, 8, "", JSON));
        changes.put(
                "start evacuation",
                change(ClusterState.Act.EVAC_START, 0, "north-a", "").versioned(3));
        changes.put(
                "finish evacuation",
                change(ClusterState.Act.EVAC_FINISH, 0, "north-a", "").versioned(4));
        changes.put("grant lease", change(ClusterState.Act.DUTY, 5, "scale/north", "10.1.2.2#9"));
        changes.put("add member", change(ClusterState.Act.ROSTER, 0, "10.3.0.1", ""));
        changes.put("read configuration", change(ClusterState.Act.READ, 0, "", ""));
        changes.put("submit job", change(ClusterState.Act.JOB_SUBMIT, 0, "job-1", job()));
        changes.put("get job", change(ClusterState.Act.JOB_GET, 0, "job-1", ""));
        changes.put("list jobs", change(ClusterState.Act.JOB_LIST, 0, "", ""));
        changes.put("get result of job", change(ClusterState.Act.JOB_RESULT, 0, "job-1", ""));
        changes.put("confirm result of job", change(ClusterState.Act.JOB_CONFIRM, 0, "job-1", ""));
        changes.put("cancel job", change(ClusterState.Act.JOB_CANCEL, 0, "job-1", ""));
        changes.put(
                "start job",
                change(ClusterState.Act.JOB_START, 6, "job-1", "10.1.2.2").versioned(2));
        changes.put(
                "keep part of result of job",
                change(
                                ClusterState.Act.JOB_KEEP,
                                6,
                                "job-1",
                                body(new RecordWriter().text("event-3").i32(10).blob(PART)))
                        .versioned(3));
        changes.put(
                "finish job",
                change(
                                ClusterState.Act.JOB_DONE,
                                6,
                                "job-1",
                                body(new RecordWriter().i32(200).i32(15).blob(PART)))
                        .versioned(3));
        changes.put(
                "give job back",
                change(
                                ClusterState.Act.JOB_BACK,
                                6,
                                "job-1",
                                body(new RecordWriter().u8(1).text("it was let go, süd")))
                        .versioned(3));
        changes.put("advance clock of jobs", change(ClusterState.Act.JOB_CLOCK, 0, "", ""));
        changes.put(
                "scale to a count",
                change(ClusterState.Act.SCALE, 6, "north/m", "2\nn2\nn3")
                        .surveyed(SURVEY)
                        .versioned(11));
        changes.put(
                "scale to all",
                change(ClusterState.Act.SCALE, 6, "north/m", "all").surveyed(SURVEY).versioned(12));
        changes.put(
                "unload model",
                change(ClusterState.Act.PLACE, 0, "south/m", "unload")
                        .surveyed(SURVEY)
                        .versioned(1));
        changes.put(
                "load model",
                change(ClusterState.Act.PLACE, 0, "south/m", "load").surveyed(SURVEY).versioned(2));
        changes.put("remove member", change(ClusterState.Act.ROSTER_OUT, 0, "10.3.0.1", ""));
        changes.put(
                "leave soon",
                change(ClusterState.Act.LEAVE, ClusterState.LEAVE_SOON, "10.2.0.1", ""));
        changes.put(
                "leave now",
                change(ClusterState.Act.LEAVE, ClusterState.LEAVE_NOW, "10.2.0.1", ""));
        changes.put(
                "change that nobody accepted",
                new ClusterState.Change(ClusterState.Act.REPLACE, 0, "", JSON));
        return changes;
    }

    private static final String JSON = "{\"Revision\":9,\"Routes\":[],\"Name\":\"süd\"}";
    private static final String SURVEY = "m north n1 n2 n3\nm south s1";
    private static final byte[] PART = "a part of a result".getBytes(StandardCharsets.UTF_8);
    private static final long JOB_CLOCK_US = 1_234_567_890_123L;

    private static ClusterState.Change change(
            ClusterState.Act act, long base, String subject, String body) {
        return new ClusterState.Change(act, base, subject, body).stamped(JOB_CLOCK_US);
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

    private static byte[] bytes(ClusterState.Change change) {
        var out = new RecordWriter();
        change.write(out);
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
                                                : ChainMember.MemberState.of(recorded).bytes()));
    }

    @Test
    void noPartOfTheFilledStateIsEmpty() {
        var recorded = GoldenFile.read(STATES).get("member state, every part filled");
        var member = ChainMember.MemberState.of(recorded);
        assertEquals(new ChainMember.Ballot(12, "10.1.0.1"), member.promised);
        assertEquals(new ChainMember.Ballot(11, "10.0.0.1"), member.accepted);
        var state = member.state;
        assertEquals(List.of("10.0.0.1", "10.1.0.1", "10.2.0.1", "10.3.0.1"), state.roster);
        assertEquals(Set.of("10.2.0.1", "10.3.0.1"), state.departed);
        assertEquals(2, state.revision);
        assertTrue(state.json.contains("h.example"), state.json);
        assertTrue(state.json.contains("second"), state.json);
        assertTrue(state.routingText.contains("h.example"), state.routingText);
        assertEquals(2, state.applied.size());
        assertEquals(Set.of("north-a"), state.evacuated);
        assertEquals(Set.of("jobs/north", "scale/north", "scale/south"), state.duties.keySet());
        assertEquals(2, state.duties.get("scale/south").grant);
        assertEquals("10.1.2.2#9", state.duties.get("scale/south").holder);
        assertEquals(
                new ClusterState.Scale(1, false, 1, Set.of("n2", "n3")),
                state.scales.get("north/m"));
        assertEquals(new ClusterState.Scale(0, true, 0, Set.of()), state.scales.get("south/m"));
        assertEquals(
                Map.of(
                        "evacuation/north-a", 1L,
                        "evacuation/south-b", 2L,
                        "placement/south/m", 1L,
                        "placement/west/m", 1L,
                        "scaling/north/m", (1L << 32) + 5),
                state.versions);
        assertEquals(9_000_000, state.jobTable.clockUs);
        assertEquals(
                EnumSet.allOf(JobState.class),
                state.jobTable.jobs.values().stream()
                        .map(job -> job.state())
                        .collect(Collectors.toSet()));
        var running = state.jobTable.jobs.get("job-running");
        assertEquals("event-3", running.lastEventId());
        assertEquals(10, running.checkpoint().length);
        assertEquals("first, second", new String(state.jobTable.jobs.get("job-done").result()));
        assertTrue(state.jobTable.jobs.get("job-confirmed").confirmed());
        assertEquals("no room, süd", state.jobTable.jobs.get("job-back").reason());
    }

    @Test
    void changesAreWrittenAsRecorded() {
        var acts = EnumSet.noneOf(ClusterState.Act.class);
        changes().values().forEach(change -> acts.add(change.act));
        assertEquals(EnumSet.allOf(ClusterState.Act.class), acts);
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
                                        bytes(
                                                ClusterState.Change.read(
                                                        new RecordReader(bytes, false)))));
    }

    @Test
    void aRecordedScaleOrderHasItsFields() {
        var recorded = GoldenFile.read(CHANGES).get("scale to a count");
        var change = ClusterState.Change.read(new RecordReader(recorded, false));
        assertEquals(ClusterState.Act.SCALE, change.act);
        assertEquals(6, change.base);
        assertEquals("north/m", change.subject);
        assertEquals("2\nn2\nn3", change.body);
        assertEquals(JOB_CLOCK_US, change.atUs);
        assertEquals(SURVEY, change.survey);
        assertEquals(11, change.version);
    }
}
