package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.UpdateConfiguration;
import org.junit.jupiter.api.Test;

/** Changes of the configuration that are sent again, and changes that compete. */
final class ConfigurationStateTest {
    private ClusterState state = ClusterState.founded(List.of("10.0.0.1"));

    private ResultCode decide(Command command) {
        var result = state.decide(StampedCommand.of(command));
        state = result.next().orElse(state);
        return result.code();
    }

    private static Command configuration(long base, long revision, String note) {
        return new ReplaceConfiguration(
                base,
                "{\"Revision\":"
                        + revision
                        + ",\"Routes\":[],\"Backends\":[],\"Note\":\""
                        + note
                        + "\"}");
    }

    @Test
    void aChangeIsAcknowledgedAgainAfterHundredsOfOthers() {
        var first = configuration(0, 1, "first");
        assertEquals(ResultCode.OK, decide(first));
        for (var base = 1; base < AppliedChanges.CAPACITY; base++) {
            assertEquals(ResultCode.OK, decide(configuration(base, base + 1, "later")));
            assertEquals(ResultCode.OK, decide(first), "after " + base + " more");
        }
        state = ClusterState.of(state.bytes());
        assertEquals(ResultCode.OK, decide(first), "also after a restart");
        var revision = state.configuration().revision();
        assertEquals(AppliedChanges.CAPACITY, revision);
        assertEquals(ResultCode.OK, decide(configuration(revision, revision + 1, "one too many")));
        assertEquals(ResultCode.PRECONDITION_FAILED, decide(first), "the record is bounded");
        assertTrue(
                state.bytes().length < 33_000, "bytes of a full record: " + state.bytes().length);
    }

    @Test
    void ofTwoChangesUnderOneNumberOneIsConfirmedAndTheOtherHearsTheVersionInForce() {
        assertEquals(ResultCode.OK, decide(configuration(0, 3, "mine")));
        var other = state.decide(StampedCommand.of(configuration(0, 3, "yours")));
        assertEquals(ResultCode.PRECONDITION_FAILED, other.code());
        assertTrue(other.text().contains("revision 3"), other.text());
        assertEquals(
                ResultCode.INVALID,
                decide(configuration(3, 3, "yours")),
                "a number that is taken is no successor of itself");
        assertEquals(ResultCode.OK, decide(configuration(0, 3, "mine")));
        assertTrue(state.configuration().json().contains("mine"));
    }

    @Test
    void theBaseAndTheKindBelongToAChange() {
        assertEquals(ResultCode.OK, decide(configuration(0, 3, "a")));
        assertEquals(
                ResultCode.PRECONDITION_FAILED,
                decide(configuration(2, 3, "a")),
                "it never was sent on this base");
        var json = "{\"Revision\":4,\"Upsert\":{}}";
        assertEquals(ResultCode.OK, decide(new UpdateConfiguration(3, json)));
        assertEquals(ResultCode.OK, decide(new UpdateConfiguration(3, json)));
        assertEquals(
                ResultCode.PRECONDITION_FAILED,
                decide(new ReplaceConfiguration(3, json)),
                "the same words as another kind of change");
        assertEquals(ResultCode.OK, decide(configuration(4, 5, "b")));
        assertEquals(
                ResultCode.OK,
                decide(new UpdateConfiguration(3, json)),
                "and again after another change");
        assertEquals(5, state.configuration().revision());
    }
}
