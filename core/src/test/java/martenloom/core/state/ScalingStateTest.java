package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import martenloom.core.state.Command.GrantLease;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.routing.placement.Placement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The orders of scalers and of the operator about replicas: fencing, late copies, the operator's
 * precedence, and the placement check.
 */
final class ScalingStateTest {
    private static final String DEPLOYMENT = "north/m";
    private static final String CONFIGURATION =
            "{\"Revision\":1,\"Routes\":[{\"Name\":\"r\",\"Hostname\":\"h.example\",\"PathPrefix\":\"/r/\",\"RouteType\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":800,"
                + "\"Priority\":0,\"Backend\":\"s\",\"MaxAttempts\":2,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":800,\"AllowedRegions\":[]}],"
                + "\"Backends\":[{\"Name\":\"s\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":1.0,\"WarmupPerS\":8.0,\"InferenceEngine\":{\"Capacity\":8,\"CacheTokens\":100000,\"Models\":[{\"Name\":\"m\"}]}}]}";

    private final Placement running = new Placement();
    private ClusterState state = ClusterState.founded(List.of("a"));
    private long sequence;

    private CommandResult<ClusterState> take(Command command) {
        return take(state.accepted(command));
    }

    private CommandResult<ClusterState> take(StampedCommand command) {
        var result = state.decide(command.surveyed(running.encode()));
        state = result.next().orElse(state);
        return result;
    }

    private ResultCode codeOf(Command command) {
        return take(command).code();
    }

    private SetReplicaCount scale(long fencingToken, String deployment, String order) {
        return new SetReplicaCount(deployment, fencingToken, ++sequence, order);
    }

    private static SetPlacement unload() {
        return new SetPlacement(DEPLOYMENT, Placing.UNLOAD);
    }

    private static SetPlacement load() {
        return new SetPlacement(DEPLOYMENT, Placing.LOAD);
    }

    private long grant(String region, String holder) {
        var role = "scale/" + region;
        var newest = state.leases().newestToken(role);
        return Long.parseLong(take(new GrantLease(role, newest, holder)).text());
    }

    @BeforeEach
    void twoRegionsRunTheModel() {
        assertEquals(ResultCode.OK, codeOf(new ReplaceConfiguration(0, CONFIGURATION)));
        running.addReplica("s", "north", "n1");
        running.addReplica("s", "north", "n2");
        running.addReplica("s", "south", "s1");
    }

    @Test
    void ofTwoClaimantsTheOlderIsFenced() {
        var old = grant("north", "edge1#1");
        assertEquals(ResultCode.OK, codeOf(scale(old, DEPLOYMENT, "1\nn2")));
        var young = grant("north", "edge2#1");
        assertTrue(young > old);
        var late = take(scale(old, DEPLOYMENT, "0\nn1\nn2"));
        assertEquals(ResultCode.CONFLICT, late.code());
        assertTrue(late.text().startsWith("fence: grant " + old), late.text());
        assertEquals(
                Set.of("n2"),
                state.scaling().targets().get(DEPLOYMENT).resting(),
                "nothing is kept of it");
        assertEquals(
                ResultCode.CONFLICT,
                codeOf(scale(young, "south/m", "1")),
                "a role of another region gives no right here");
        assertEquals(ResultCode.OK, codeOf(scale(young, DEPLOYMENT, "all")));
        assertFalse(state.scaling().targets().containsKey(DEPLOYMENT));
    }

    @Test
    void twoOrdersThatAreEachSafeCannotBothPass() {
        running.addReplica("s", "west", "w1");
        var northToken = grant("north", "edge1#1");
        var southToken = grant("south", "edge3#1");
        assertEquals(
                ResultCode.OK,
                state.decide(
                                StampedCommand.of(
                                                new SetReplicaCount(
                                                        "south/m", southToken, 1, "0\ns1"))
                                        .surveyed(running.encode()))
                        .code(),
                "safe alone");
        assertEquals(
                ResultCode.OK, codeOf(scale(northToken, DEPLOYMENT, "0\nn1\nn2")), "safe alone");
        var edition = state.edition();
        var result = take(scale(southToken, "south/m", "0\ns1"));
        assertEquals(ResultCode.CONFLICT, result.code());
        assertTrue(
                result.text().contains("model 'm'") && result.text().contains("region 'west'"),
                result.text());
        assertEquals(edition, state.edition());
    }

    @Test
    void theOperatorsWordStandsAboveTheScaler() {
        var northToken = grant("north", "edge1#1");
        running.addReplica("s", "west", "w1");
        assertEquals(ResultCode.OK, codeOf(unload()));
        var result = take(scale(northToken, DEPLOYMENT, "2"));
        assertEquals(ResultCode.CONFLICT, result.code());
        assertTrue(result.text().startsWith("pinned"), result.text());
        assertEquals(ResultCode.OK, codeOf(unload()), "the same again is acknowledged again");
        assertEquals(ResultCode.OK, codeOf(load()));
        assertEquals(ResultCode.OK, codeOf(scale(northToken, DEPLOYMENT, "1\nn1")));
    }

    @Test
    void aScalersOrderThatWasOvertakenByItsNextNeverActs() {
        var northToken = grant("north", "edge1#1");
        var first = new SetReplicaCount(DEPLOYMENT, northToken, 1, "1\nn2");
        var second = new SetReplicaCount(DEPLOYMENT, northToken, 2, "all");
        assertEquals(ResultCode.OK, codeOf(second));
        assertEquals(ResultCode.CONFLICT, codeOf(first), "it sat in a link for a while");
        assertFalse(state.scaling().targets().containsKey(DEPLOYMENT));
        assertEquals(ResultCode.OK, codeOf(second), "the same again");
        var heir = grant("north", "edge2#1");
        assertEquals(
                ResultCode.OK,
                codeOf(new SetReplicaCount(DEPLOYMENT, heir, 1, "1\nn2")),
                "a successor counts anew");
    }

    @Test
    void ordersOutliveTheDiskAndMalformedOnesKeepNothing() {
        var northToken = grant("north", "edge1#1");
        take(scale(northToken, DEPLOYMENT, "1\nn2"));
        var back = ClusterState.of(state.bytes());
        assertEquals(state.scaling().targets(), back.scaling().targets());
        for (var bad : List.of("", "some", "-1", "1234567", "all\nn1")) {
            assertEquals(ResultCode.INVALID, codeOf(scale(northToken, DEPLOYMENT, bad)), bad);
        }
        assertEquals(back.scaling().targets(), state.scaling().targets());
    }

    @Test
    void aLateCopyOfAnUnloadDoesNotActAfterItsLoad() {
        running.addReplica("s", "west", "w1");
        var copy = state.accepted(unload());
        assertEquals(ResultCode.OK, codeOf(unload()));
        assertEquals(ResultCode.OK, take(copy).code(), "already so");
        assertEquals(ResultCode.OK, codeOf(load()));
        assertEquals(ResultCode.STALE_ORDER, take(copy).code());
        assertFalse(state.scaling().targets().containsKey(DEPLOYMENT));
    }

    @Test
    void aLoadOfWhatIsNotUnloadedLeavesTheScalersOrderAlone() {
        running.addReplica("s", "west", "w1");
        var token = grant("north", "edge#1");
        assertEquals(ResultCode.OK, codeOf(scale(token, DEPLOYMENT, "1\nn2")));
        assertEquals(ResultCode.OK, codeOf(load()));
        assertEquals(Set.of("n2"), state.scaling().targets().get(DEPLOYMENT).resting());
    }
}
