package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import martenloom.routing.placement.Placement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Orders of scalers and of the operator as the chain decides them: the fence, the operator's word,
 * and the placement check.
 */
final class ScaleOrderTest {
    private static final String CONFIGURATION =
            "{\"Revision\":1,\"Routes\":[{\"Name\":\"r\",\"Hostname\":\"h.example\",\"PathPrefix\":\"/r/\",\"RouteType\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":800,"
                + "\"Priority\":0,\"Backend\":\"s\",\"MaxAttempts\":2,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":800,\"AllowedRegions\":[]}],"
                + "\"Backends\":[{\"Name\":\"s\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":1.0,\"WarmupPerS\":8.0,\"InferenceEngine\":{\"Capacity\":8,\"CacheTokens\":100000,\"Models\":[{\"Name\":\"m\"}]}}]}";
    private ClusterState s = ClusterState.founded(List.of("a"));
    private final Placement runs = new Placement();
    private long orders;

    private ClusterState.Outcome go(ClusterState.Act a, long base, String subject, String body) {
        return go(s.accepted(new ClusterState.Change(a, base, subject, body).versioned(++orders)));
    }

    private ClusterState.Outcome go(ClusterState.Change c) {
        var o = s.decide(c.surveyed(c.act.ofPlacement() ? runs.encode() : ""));
        s = o.next.orElse(s);
        return o;
    }

    private long grant(String region, String holder) {
        return Long.parseLong(
                go(
                                ClusterState.Act.DUTY,
                                Optional.ofNullable(s.duties.get("scale/" + region))
                                        .map(d -> d.grant)
                                        .orElse(0L),
                                "scale/" + region,
                                holder)
                        .text);
    }

    @BeforeEach
    void open() {
        assertEquals(200, go(ClusterState.Act.REPLACE, 0, "", CONFIGURATION).status);
        runs.addReplica("s", "north", "n1");
        runs.addReplica("s", "north", "n2");
        runs.addReplica("s", "south", "s1");
    }

    @Test
    void ofTwoClaimantsTheOlderIsFenced() {
        var old = grant("north", "edge1#1");
        assertEquals(200, go(ClusterState.Act.SCALE, old, "north/m", "1\nn2").status);
        var young = grant("north", "edge2#1");
        assertTrue(young > old);
        var late = go(ClusterState.Act.SCALE, old, "north/m", "0\nn1\nn2");
        assertEquals(409, late.status);
        assertTrue(late.text.startsWith("fence: grant " + old), late.text);
        assertEquals(Set.of("n2"), s.scales.get("north/m").resting(), "nothing is kept of it");
        assertEquals(
                409,
                go(ClusterState.Act.SCALE, young, "south/m", "1").status,
                "a duty of another region gives no right here");
        assertEquals(200, go(ClusterState.Act.SCALE, young, "north/m", "all").status);
        assertFalse(s.scales.containsKey("north/m"));
    }

    @Test
    void twoOrdersThatAreEachSafeCannotBothPass() {
        runs.addReplica("s", "west", "w1");
        var n = grant("north", "edge1#1");
        var q = grant("south", "edge3#1");
        assertEquals(
                200,
                s.decide(
                                new ClusterState.Change(
                                                ClusterState.Act.SCALE, q, "south/m", "0\ns1")
                                        .versioned(1)
                                        .surveyed(runs.encode()))
                        .status,
                "safe alone");
        assertEquals(
                200, go(ClusterState.Act.SCALE, n, "north/m", "0\nn1\nn2").status, "safe alone");
        var e = s.edition;
        var o = go(ClusterState.Act.SCALE, q, "south/m", "0\ns1");
        assertEquals(409, o.status);
        assertTrue(o.text.contains("model 'm'") && o.text.contains("region 'west'"), o.text);
        assertEquals(e, s.edition);
    }

    @Test
    void theOperatorsWordStandsAboveTheScaler() {
        var n = grant("north", "edge1#1");
        runs.addReplica("s", "west", "w1");
        assertEquals(200, go(ClusterState.Act.PLACE, 0, "north/m", "unload").status);
        var o = go(ClusterState.Act.SCALE, n, "north/m", "2");
        assertEquals(409, o.status);
        assertTrue(o.text.startsWith("pinned"), o.text);
        assertEquals(
                200,
                go(ClusterState.Act.PLACE, 0, "north/m", "unload").status,
                "the same again is acknowledged again");
        assertEquals(200, go(ClusterState.Act.PLACE, 0, "north/m", "load").status);
        assertEquals(200, go(ClusterState.Act.SCALE, n, "north/m", "1\nn1").status);
    }

    @Test
    void aScalersOrderThatWasOvertakenByItsNextNeverActs() {
        var n = grant("north", "edge1#1");
        var first =
                new ClusterState.Change(ClusterState.Act.SCALE, n, "north/m", "1\nn2").versioned(1);
        var second =
                new ClusterState.Change(ClusterState.Act.SCALE, n, "north/m", "all").versioned(2);
        assertEquals(200, go(second).status);
        assertEquals(409, go(first).status, "it sat in a link for a while");
        assertFalse(s.scales.containsKey("north/m"));
        assertEquals(200, go(second).status, "the same again");
        var heir = grant("north", "edge2#1");
        assertEquals(
                200,
                go(new ClusterState.Change(ClusterState.Act.SCALE, heir, "north/m", "1\nn2")
                                .versioned(1))
                        .status,
                "a successor counts anew");
    }

    @Test
    void ordersOutliveTheDiskAndMalformedOnesKeepNothing() {
        var n = grant("north", "edge1#1");
        go(ClusterState.Act.SCALE, n, "north/m", "1\nn2");
        var back = ClusterState.of(s.bytes());
        assertEquals(s.scales, back.scales);
        for (var bad : List.of("", "some", "-1", "1234567", "all\nn1")) {
            assertEquals(400, go(ClusterState.Act.SCALE, n, "north/m", bad).status, bad);
        }
        assertEquals(back.scales, s.scales);
    }
}
