package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import martenloom.common.codec.Codec;
import martenloom.common.jobs.Job;
import martenloom.core.chain.ChainCore;
import martenloom.core.state.CoreState;
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
        var founded = CoreState.founded(List.of("10.0.0.1", "10.1.0.1"));
        states.put("core state, founded", founded.bytes());
        states.put("core state, every part filled", FilledState.build().bytes());
        states.put(
                "member state, founded",
                new ChainCore.MemberState(ChainCore.Ballot.ZERO, ChainCore.Ballot.ZERO, founded)
                        .bytes());
        states.put("member state, every part filled", filledMember().bytes());
        return states;
    }

    private static ChainCore.MemberState filledMember() {
        return new ChainCore.MemberState(
                new ChainCore.Ballot(12, "10.1.0.1"),
                new ChainCore.Ballot(11, "10.0.0.1"),
                FilledState.build());
    }

    /** Each act by its name in the recorded file, in the order of the numbers on the wire. */
    private static Map<String, CoreState.Act> acts() {
        var acts = new LinkedHashMap<String, CoreState.Act>();
        acts.put("replace configuration", CoreState.Act.REPLACE);
        acts.put("update configuration", CoreState.Act.UPDATE);
        acts.put("start evacuation", CoreState.Act.EVAC_START);
        acts.put("finish evacuation", CoreState.Act.EVAC_FINISH);
        acts.put("grant duty", CoreState.Act.DUTY);
        acts.put("add to roster", CoreState.Act.ROSTER);
        acts.put("read configuration", CoreState.Act.READ);
        acts.put("submit job", CoreState.Act.JOB_SUBMIT);
        acts.put("get job", CoreState.Act.JOB_GET);
        acts.put("list jobs", CoreState.Act.JOB_LIST);
        acts.put("get result of job", CoreState.Act.JOB_RESULT);
        acts.put("confirm result of job", CoreState.Act.JOB_CONFIRM);
        acts.put("cancel job", CoreState.Act.JOB_CANCEL);
        acts.put("start job", CoreState.Act.JOB_START);
        acts.put("keep part of result of job", CoreState.Act.JOB_KEEP);
        acts.put("finish job", CoreState.Act.JOB_DONE);
        acts.put("give job back", CoreState.Act.JOB_BACK);
        acts.put("advance clock of jobs", CoreState.Act.JOB_CLOCK);
        acts.put("scale", CoreState.Act.SCALE);
        acts.put("place", CoreState.Act.PLACE);
        acts.put("remove from roster", CoreState.Act.ROSTER_OUT);
        acts.put("leave", CoreState.Act.LEAVE);
        return acts;
    }

    private static CoreState.Change filledChange(String name, CoreState.Act act) {
        return new CoreState.Change(act, 1_001, "subject of " + name, "body of\n" + name + " é")
                .stamped(1_234_567_890_123L)
                .surveyed("survey of " + name)
                .versioned(1L << 40);
    }

    private static Map<String, byte[]> writtenChanges() {
        var changes = new LinkedHashMap<String, byte[]>();
        acts().forEach((name, act) -> changes.put(name, bytes(filledChange(name, act))));
        changes.put(
                "change that nobody accepted",
                bytes(new CoreState.Change(CoreState.Act.REPLACE, 0, "", "")));
        return changes;
    }

    private static byte[] bytes(CoreState.Change change) {
        var out = new Codec.Out();
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
                                                ? CoreState.of(recorded).bytes()
                                                : ChainCore.MemberState.of(recorded).bytes()));
    }

    @Test
    void noPartOfTheFilledStateIsEmpty() {
        var recorded = GoldenFile.read(STATES).get("member state, every part filled");
        var member = ChainCore.MemberState.of(recorded);
        assertEquals(new ChainCore.Ballot(12, "10.1.0.1"), member.promised);
        assertEquals(new ChainCore.Ballot(11, "10.0.0.1"), member.accepted);
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
                new CoreState.Scale(1, false, 1, Set.of("n2", "n3")), state.scales.get("north/m"));
        assertEquals(new CoreState.Scale(0, true, 0, Set.of()), state.scales.get("south/m"));
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
                EnumSet.allOf(Job.State.class),
                state.jobTable.jobs.values().stream()
                        .map(job -> job.state)
                        .collect(Collectors.toSet()));
        var running = state.jobTable.jobs.get("job-running");
        assertEquals("event-3", running.lastEvent);
        assertEquals(10, running.kept.length);
        assertEquals("first, second", new String(state.jobTable.jobs.get("job-done").result));
        assertTrue(state.jobTable.jobs.get("job-confirmed").confirmed);
        assertEquals("no room, süd", state.jobTable.jobs.get("job-back").why);
    }

    @Test
    void changesAreWrittenAsRecorded() {
        assertEquals(List.of(CoreState.Act.values()), List.copyOf(acts().values()));
        GoldenFile.assertRecorded(GoldenFile.read(CHANGES), writtenChanges());
    }

    @Test
    void recordedChangesAreReadAndWrittenAgain() {
        var recorded = GoldenFile.read(CHANGES);
        recorded.forEach(
                (name, bytes) ->
                        GoldenFile.assertSameBytes(
                                name,
                                bytes,
                                bytes(CoreState.Change.read(new Codec.In(bytes, false)))));
        acts().forEach(
                        (name, act) -> {
                            var in = new Codec.In(recorded.get(name), false);
                            var change = CoreState.Change.read(in);
                            assertEquals(act, change.act);
                            assertEquals(1_001, change.base);
                            assertEquals("subject of " + name, change.subject);
                            assertEquals("body of\n" + name + " é", change.body);
                            assertEquals(1_234_567_890_123L, change.atUs);
                            assertEquals("survey of " + name, change.survey);
                            assertEquals(1L << 40, change.version);
                        });
    }
}
