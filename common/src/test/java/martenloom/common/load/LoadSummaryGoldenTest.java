package martenloom.common.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded bytes of the load sums that edges and homes exchange. */
final class LoadSummaryGoldenTest {
    private final GoldenBytes golden = new GoldenBytes("load-summary.txt");

    // ---- the values

    private static LoadSummary partOfAnEdge() {
        var part = LoadSummary.ofEdge();
        var load = part.put("replica-1", 7, 1200, true);
        load.heard = 1;
        load.ok = 40;
        load.bad = 3;
        part.put("replica-2", 2, 0, false);
        part.fly("north/chat");
        part.fly("north/chat");
        part.fly("south/chat");
        return part;
    }

    /** Counts beyond what a byte or sixteen bits hold are cut to the most that they hold. */
    private static LoadSummary beyondTheWidths() {
        var sum = new LoadSummary();
        var load = sum.put("replica-1", Integer.MAX_VALUE, -5, false);
        load.doubts = 300;
        load.heard = 256;
        load.ok = 40_000;
        load.bad = -1;
        return sum;
    }

    private static LoadSummary sumOfTwo() {
        return new LoadSummary().add(partOfAnEdge()).add(partOfAnEdge());
    }

    private static byte[] encoded(LoadSummary sum) {
        return sum.write(new RecordWriter()).bytes();
    }

    private LoadSummary decoded(String name) {
        return LoadSummary.read(new RecordReader(golden.bytes(name), false));
    }

    // ---- the checks

    @Test
    void sumsAreEncodedAsRecorded() {
        golden.check("edge-part", encoded(partOfAnEdge()));
        golden.check("beyond-widths", encoded(beyondTheWidths()));
        golden.check("sum-of-two", encoded(sumOfTwo()));
        golden.check("one-taken-away", encoded(sumOfTwo().less(partOfAnEdge())));
        golden.check("doubtful", encoded(sumOfTwo().doubtful()));
        golden.check("empty", encoded(new LoadSummary()));
    }

    @Test
    void recordedSumsAreDecodedAndEncodedAgain() {
        for (var name :
                new String[] {
                    "edge-part",
                    "beyond-widths",
                    "sum-of-two",
                    "one-taken-away",
                    "doubtful",
                    "empty"
                }) {
            golden.check(name, encoded(decoded(name)));
        }
        var sum = decoded("sum-of-two");
        assertEquals(2, sum.edges());
        assertEquals(Map.of("north/chat", 4, "south/chat", 2), sum.flights());
        var load = sum.load("replica-1");
        assertEquals(14, load.inHand);
        assertEquals(2400, load.unread);
        assertEquals(2, load.doubts);
        assertEquals(2, load.heard);
        assertEquals(80, load.ok);
        assertEquals(6, load.bad);
        var cut = decoded("beyond-widths").load("replica-1");
        assertEquals(255, cut.doubts);
        assertEquals(255, cut.heard);
        assertEquals(32_767, cut.ok);
        assertEquals(0, cut.bad);
    }
}
