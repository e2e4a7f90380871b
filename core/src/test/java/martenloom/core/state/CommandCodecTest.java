package martenloom.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MalformedRecordException;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.core.state.Command.StartJob;
import org.junit.jupiter.api.Test;

/** The kinds of commands by number and by name; their bytes are held by the golden tests. */
final class CommandCodecTest {
    /** By their numbers on the wire and on disk. */
    private static final List<String> WIRE_NAMES =
            List.of(
                    "REPLACE",
                    "UPDATE",
                    "EVAC_START",
                    "EVAC_FINISH",
                    "DUTY",
                    "ROSTER",
                    "READ",
                    "JOB_SUBMIT",
                    "JOB_GET",
                    "JOB_LIST",
                    "JOB_RESULT",
                    "JOB_CONFIRM",
                    "JOB_CANCEL",
                    "JOB_START",
                    "JOB_KEEP",
                    "JOB_DONE",
                    "JOB_BACK",
                    "JOB_CLOCK",
                    "SCALE",
                    "PLACE",
                    "ROSTER_OUT",
                    "LEAVE",
                    "JOB_READ");

    @Test
    void numbersAndNamesOfTheKindsStand() {
        assertEquals(
                WIRE_NAMES,
                Arrays.stream(CommandType.values()).map(CommandType::wireName).toList());
        for (var number = 0; number < WIRE_NAMES.size(); number++) {
            var type = CommandType.ofNumber(number);
            assertEquals(number, type.number());
            assertEquals(type, CommandType.ofWireName(WIRE_NAMES.get(number)));
        }
        assertThrows(MalformedRecordException.class, () -> CommandType.ofNumber(WIRE_NAMES.size()));
        assertThrows(MalformedRecordException.class, () -> CommandType.ofWireName("CANCEL_JOB"));
    }

    @Test
    void anEdgeMayReportOnJobsAndScaleAndNothingElse() {
        assertEquals(
                "JOB_START JOB_KEEP JOB_DONE JOB_BACK SCALE",
                Arrays.stream(CommandType.values())
                        .filter(CommandType::isAllowedFromEdge)
                        .map(CommandType::wireName)
                        .collect(Collectors.joining(" ")));
    }

    @Test
    void aCommandOfAnEdgeIsReadByItsKind() {
        assertEquals(
                StampedCommand.of(new StartJob("job-1", 6, 2, "n1")),
                CommandCodec.ofEdge(CommandType.START_JOB, "job-1", 6, 2, "n1"));
        assertEquals(
                StampedCommand.of(new SetReplicaCount("north/m", 6, 11, "all")),
                CommandCodec.ofEdge(CommandType.SET_REPLICA_COUNT, "north/m", 6, 11, "all"));
    }

    @Test
    void theLogNamesAKindAsTheWireDoes() {
        assertEquals(
                "JOB_CANCEL base 0 job-1",
                CommandCodec.describe(StampedCommand.of(new CancelJob("job-1"))));
    }

    @Test
    void theStampsOfTheHeadTravelWithACommand() {
        var stamped =
                StampedCommand.of(new StartEvacuation("north-a"))
                        .acceptedOn(7)
                        .stampedAt(8)
                        .surveyed("m north n1");
        var out = new RecordWriter();
        CommandCodec.write(out, stamped);
        assertEquals(stamped, CommandCodec.read(new RecordReader(out.bytes(), false)));
    }

    @Test
    void codesHaveTheNumbersThatDaemonsSend() {
        assertEquals(
                List.of(200, 400, 404, 409, 410, 412, 413, 429, 503, 598),
                Arrays.stream(ResultCode.values()).map(ResultCode::number).toList());
        for (var code : ResultCode.values()) {
            assertEquals(code, ResultCode.ofNumber(code.number()));
        }
        assertEquals(ResultCode.UNAVAILABLE, ResultCode.ofNumber(777));
    }
}
