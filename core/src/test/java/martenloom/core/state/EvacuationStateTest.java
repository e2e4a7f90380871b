package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.StartEvacuation;
import org.junit.jupiter.api.Test;

/** Late copies of the operator's orders about zones. */
final class EvacuationStateTest {
    private static final String ZONE = "north-a";

    private ClusterState state = ClusterState.founded(List.of("10.0.0.1"));

    private ResultCode decide(StampedCommand command) {
        var result = state.decide(command);
        state = result.next().orElse(state);
        return result.code();
    }

    private StampedCommand start() {
        return state.accepted(new StartEvacuation(ZONE));
    }

    private StampedCommand finish() {
        return state.accepted(new FinishEvacuation(ZONE));
    }

    @Test
    void aLateCopyOfAStartDoesNotActAfterItsFinish() {
        var copy = start();
        assertEquals(ResultCode.OK, decide(start()));
        assertEquals(
                ResultCode.OK,
                decide(copy),
                "a copy that finds the zone evacuated is acknowledged");
        assertEquals(ResultCode.OK, decide(finish()));
        assertEquals(ResultCode.STALE_ORDER, decide(copy));
        assertEquals(Set.of(), state.evacuations().zones());
        state = ClusterState.of(state.bytes());
        assertEquals(ResultCode.STALE_ORDER, decide(copy), "nor after a restart");
        assertEquals(
                ResultCode.OK,
                decide(start()),
                "the same call sent anew is accepted on the version in force");
    }

    @Test
    void aStartThatWasNeverAppliedDoesNotActAfterAFinishThatFoundNothingToDo() {
        var lost = start();
        assertEquals(ResultCode.OK, decide(finish()));
        assertEquals(ResultCode.STALE_ORDER, decide(lost));
        assertEquals(Set.of(), state.evacuations().zones());
    }

    @Test
    void aFinishAcceptedByALaggingDaemonIsConfirmedOverAPendingStart() {
        var behind = state;
        assertEquals(ResultCode.OK, decide(start()));
        assertEquals(ResultCode.OK, decide(finish()));
        var pending = start();
        var laggingFinish = behind.accepted(new FinishEvacuation(ZONE));
        assertEquals(ResultCode.OK, decide(laggingFinish));
        assertEquals(ResultCode.STALE_ORDER, decide(pending));
    }

    @Test
    void zonesCountApartAndAnOrderThatNobodyAcceptedDoesNothing() {
        var other = state.accepted(new StartEvacuation("south-b"));
        assertEquals(ResultCode.OK, decide(start()));
        assertEquals(ResultCode.OK, decide(other));
        assertEquals(ResultCode.STALE_ORDER, decide(StampedCommand.of(new FinishEvacuation(ZONE))));
        assertEquals(Set.of(ZONE, "south-b"), state.evacuations().zones());
    }

    @Test
    void anOrderTravelsWithTheVersionItWasAcceptedOn() {
        decide(start());
        decide(finish());
        var out = new RecordWriter();
        CommandCodec.write(out, start());
        var read = CommandCodec.read(new RecordReader(out.bytes(), false));
        assertEquals(2, read.acceptedVersion());
        assertEquals(ResultCode.OK, decide(read));
    }
}
