package martenloom.core.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The bytes of tallies on the wire and on disk: a new form gets new entries, these stay. */
final class TallyGoldenTest {
    private static final String ORIGIN = "0000000000000005";
    private static final String BATCH = ORIGIN + "02" + "01" + "0174" + "0178" + "ffffffffffffffff";
    private static final AddBatch ADDS = new AddBatch(5, 2, List.of(new TallyAdd("t", "x", -1)));
    private static final Location LOCATION = new Location("a", "n");

    private static VersionVector held() {
        var held = new VersionVector();
        held.raise(5, 300);
        return held;
    }

    private static List<Arguments> messages() {
        return List.of(
                Arguments.of(
                        new TallyMessage.Probe(7, 0x0102030405060708L), "35070102030405060708"),
                Arguments.of(
                        new TallyMessage.ProbeResponse(7, LOCATION, Optional.empty()),
                        "36070161016e00"),
                Arguments.of(
                        new TallyMessage.ProbeResponse(7, LOCATION, Optional.of(held())),
                        "36070161016e01" + "01" + ORIGIN + "ac02"),
                Arguments.of(new TallyMessage.Adds(ADDS), "37" + BATCH),
                Arguments.of(new TallyMessage.Held(5, 300), "38" + ORIGIN + "ac02"),
                Arguments.of(new TallyMessage.Fetch(5, 300), "39" + ORIGIN + "ac02"));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messagesKeepTheirBytes(TallyMessage message, String hex) {
        assertEquals(hex, HexFormat.of().formatHex(message.encode()));
        var read = TallyMessage.read(new RecordReader(HexFormat.of().parseHex(hex), true));
        assertEquals(hex, HexFormat.of().formatHex(read.encode()));
    }

    @Test
    void theLogKeepsItsBytes() {
        var origin = HexFormat.of().parseHex("01" + ORIGIN);
        var batches = HexFormat.of().parseHex("02" + "01" + BATCH);
        assertEquals("01" + ORIGIN, HexFormat.of().formatHex(TallyLogRecords.ofOrigin(5)));
        assertEquals(
                "02" + "01" + BATCH,
                HexFormat.of().formatHex(TallyLogRecords.ofBatches(List.of(ADDS))));
        var records = TallyLogRecords.read(List.of(origin, batches));
        assertEquals(Optional.of(5L), records.origin());
        assertEquals(List.of(ADDS), records.batches());
    }
}
