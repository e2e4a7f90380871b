package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import martenloom.routing.placement.Placement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Late copies of orders, changes that are sent again, and repeated grants, as the state decides
 * them.
 */
final class OrderVersionTest {
    private static final String ZONE = "north-a";
    private static final String PLACE = "north/m";
    private static final String CONFIGURATION =
            """
            {"Revision":1,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/r/","RouteType":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":800,"Priority":0,"Backend":"s","MaxAttempts":2,"SessionAffinity":true,"Resumable":true,"TargetGapMs":800,
            "AllowedRegions":[]}],"Backends":[{"Name":"s","HealthPath":"/h","MaxConnections":60,"WarmupS":1.0,"WarmupPerS":8.0,
            "InferenceEngine":{"Capacity":8,"CacheTokens":100000,"Models":[{"Name":"m"}]}}]}\
            """;

    private final Placement running = new Placement();
    private ClusterState state = ClusterState.founded(List.of("10.0.0.1"));

    @BeforeEach
    void twoRegionsRunTheModel() {
        running.addReplica("s", "north", "n1");
        running.addReplica("s", "south", "s1");
        running.addReplica("s", "west", "w1");
    }

    private int decide(ClusterState.Change change) {
        var outcome = state.decide(change.surveyed(running.encode()));
        state = outcome.next.orElse(state);
        return outcome.status;
    }

    private ClusterState.Change accepted(ClusterState.Act act, String subject, String body) {
        return state.accepted(new ClusterState.Change(act, 0, subject, body));
    }

    private ClusterState.Change start() {
        return accepted(ClusterState.Act.EVAC_START, ZONE, "");
    }

    private ClusterState.Change finish() {
        return accepted(ClusterState.Act.EVAC_FINISH, ZONE, "");
    }

    private static ClusterState.Change configuration(long base, long revision, String note) {
        return new ClusterState.Change(
                ClusterState.Act.REPLACE,
                base,
                "",
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + note
                        + "\"}");
    }

    // ---- evacuations and placements

    @Test
    void aLateCopyOfAStartDoesNotActAfterItsFinish() {
        var copy = start();
        assertEquals(200, decide(start()));
        assertEquals(200, decide(copy), "a copy that finds the zone evacuated is acknowledged");
        assertEquals(200, decide(finish()));
        assertEquals(ClusterState.STALE_ORDER, decide(copy));
        assertEquals(Set.of(), state.evacuated);
        state = ClusterState.of(state.bytes());
        assertEquals(ClusterState.STALE_ORDER, decide(copy), "nor after a restart");
        assertEquals(
                200,
                decide(start()),
                "the same call sent anew is accepted on the version in force");
    }

    @Test
    void aStartThatWasNeverAppliedDoesNotActAfterAFinishThatFoundNothingToDo() {
        var lost = start();
        assertEquals(200, decide(finish()));
        assertEquals(ClusterState.STALE_ORDER, decide(lost));
        assertEquals(Set.of(), state.evacuated);
    }

    @Test
    void aFinishAcceptedByALaggingDaemonIsConfirmedOverAPendingStart() {
        var behind = state;
        assertEquals(200, decide(start()));
        assertEquals(200, decide(finish()));
        var pending = start();
        var laggingFinish =
                behind.accepted(new ClusterState.Change(ClusterState.Act.EVAC_FINISH, 0, ZONE, ""));
        assertEquals(200, decide(laggingFinish));
        assertEquals(ClusterState.STALE_ORDER, decide(pending));
    }

    @Test
    void zonesCountApartAndAnOrderThatNobodyAcceptedDoesNothing() {
        var other = accepted(ClusterState.Act.EVAC_START, "south-b", "");
        assertEquals(200, decide(start()));
        assertEquals(200, decide(other));
        assertEquals(
                ClusterState.STALE_ORDER,
                decide(new ClusterState.Change(ClusterState.Act.EVAC_FINISH, 0, ZONE, "")));
        assertEquals(Set.of(ZONE, "south-b"), state.evacuated);
    }

    @Test
    void anOrderTravelsWithTheVersionItWasAcceptedOn() {
        decide(start());
        decide(finish());
        var out = new martenloom.common.codec.RecordWriter();
        start().write(out);
        var read =
                ClusterState.Change.read(
                        new martenloom.common.codec.RecordReader(out.bytes(), false));
        assertEquals(2, read.version);
        assertEquals(200, decide(read));
    }

    @Test
    void aLateCopyOfAnUnloadDoesNotActAfterItsLoad() {
        decide(new ClusterState.Change(ClusterState.Act.REPLACE, 0, "", CONFIGURATION));
        var copy = accepted(ClusterState.Act.PLACE, PLACE, "unload");
        assertEquals(200, decide(accepted(ClusterState.Act.PLACE, PLACE, "unload")));
        assertEquals(200, decide(copy), "already so");
        assertEquals(200, decide(accepted(ClusterState.Act.PLACE, PLACE, "load")));
        assertEquals(ClusterState.STALE_ORDER, decide(copy));
        assertFalse(state.scales.containsKey(PLACE));
    }

    @Test
    void aLoadOfWhatIsNotUnloadedLeavesTheScalersOrderAlone() {
        decide(new ClusterState.Change(ClusterState.Act.REPLACE, 0, "", CONFIGURATION));
        running.addReplica("s", "north", "n2");
        assertEquals(
                200,
                decide(new ClusterState.Change(ClusterState.Act.DUTY, 0, "scale/north", "edge#1")));
        assertEquals(
                200,
                decide(
                        new ClusterState.Change(ClusterState.Act.SCALE, 1, PLACE, "1\nn2")
                                .versioned(1)));
        assertEquals(200, decide(accepted(ClusterState.Act.PLACE, PLACE, "load")));
        assertEquals(Set.of("n2"), state.scales.get(PLACE).resting());
    }

    // ---- configurations sent again

    @Test
    void aChangeIsAcknowledgedAgainAfterHundredsOfOthers() {
        var first = configuration(0, 1, "first");
        assertEquals(200, decide(first));
        for (var base = 1; base < AppliedChanges.CAPACITY; base++) {
            assertEquals(200, decide(configuration(base, base + 1, "later")));
            assertEquals(200, decide(first), "after " + base + " more");
        }
        state = ClusterState.of(state.bytes());
        assertEquals(200, decide(first), "also after a restart");
        assertEquals(AppliedChanges.CAPACITY, state.revision);
        assertEquals(
                200, decide(configuration(state.revision, state.revision + 1, "one too many")));
        assertEquals(412, decide(first), "the record is bounded");
        assertTrue(
                state.bytes().length < 33_000, "bytes of a full record: " + state.bytes().length);
    }

    @Test
    void ofTwoChangesUnderOneNumberOneIsConfirmedAndTheOtherHearsTheVersionInForce() {
        assertEquals(200, decide(configuration(0, 3, "mine")));
        var other = state.decide(configuration(0, 3, "yours"));
        assertEquals(412, other.status);
        assertTrue(other.text.contains("revision 3"), other.text);
        assertEquals(
                400,
                decide(configuration(3, 3, "yours")),
                "a number that is taken is no successor of itself");
        assertEquals(200, decide(configuration(0, 3, "mine")));
        assertTrue(state.json.contains("mine"));
    }

    @Test
    void theBaseAndTheActBelongToAChange() {
        assertEquals(200, decide(configuration(0, 3, "a")));
        assertEquals(412, decide(configuration(2, 3, "a")), "it never was sent on this base");
        var body = "{\"Revision\":4,\"Upsert\":{}}";
        assertEquals(200, decide(new ClusterState.Change(ClusterState.Act.UPDATE, 3, "", body)));
        assertEquals(200, decide(new ClusterState.Change(ClusterState.Act.UPDATE, 3, "", body)));
        assertEquals(
                412,
                decide(new ClusterState.Change(ClusterState.Act.REPLACE, 3, "", body)),
                "the same words as another act");
        assertEquals(200, decide(configuration(4, 5, "b")));
        assertEquals(
                200,
                decide(new ClusterState.Change(ClusterState.Act.UPDATE, 3, "", body)),
                "and again after another change");
        assertEquals(5, state.revision);
    }

    // ---- grants

    @Test
    void aGrantAskedForAgainIsTheSameAndALateCopyTakesNothingBack() {
        var first = new ClusterState.Change(ClusterState.Act.DUTY, 0, "jobs/north", "x#1");
        assertEquals("1", state.decide(first).text);
        decide(first);
        var again = state.decide(first);
        assertEquals("200 1", again.status + " " + again.text);
        assertTrue(again.next.isEmpty(), "nothing is written");
        assertEquals(
                200,
                decide(new ClusterState.Change(ClusterState.Act.DUTY, 1, "jobs/north", "y#1")));
        assertEquals(409, decide(first), "the successor keeps the duty");
        assertEquals(
                409,
                decide(new ClusterState.Change(ClusterState.Act.DUTY, 1, "jobs/north", "z#1")),
                "one grant, one holder");
        assertEquals(2, state.duties.get("jobs/north").grant);
        assertTrue(state.overtaken("jobs/north", 1), "word under the first grant is dropped");
        assertFalse(state.overtaken("jobs/north", 2) || state.overtaken("jobs/south", 1));
        assertEquals("y#1", state.duties.get("jobs/north").holder);
        assertEquals(
                200,
                decide(new ClusterState.Change(ClusterState.Act.DUTY, 2, "jobs/north", "x#1")),
                "a former holder may be granted it anew");
        assertEquals(3, state.duties.get("jobs/north").grant);
    }
}
