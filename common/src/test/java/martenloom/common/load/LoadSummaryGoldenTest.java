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
        var load = part.addReplica("replica-1", 7, 1200, true);
        load.setHearingEdges(1);
        load.setSuccesses(40);
        load.setFailures(3);
        part.addReplica("replica-2", 2, 0, false);
        part.addInFlight("north/chat");
        part.addInFlight("north/chat");
        part.addInFlight("south/chat");
        return part;
    }

    /** Counts beyond what a byte or sixteen bits hold are cut to the most that they hold. */
    private static LoadSummary beyondTheWidths() {
        var sum = new LoadSummary();
        var load = sum.addReplica("replica-1", Integer.MAX_VALUE, -5, false);
        load.setSuspectingEdges(300);
        load.setHearingEdges(256);
        load.setSuccesses(40_000);
        load.setFailures(-1);
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
        golden.check("one-taken-away", encoded(sumOfTwo().subtract(partOfAnEdge())));
        golden.check("doubtful", encoded(sumOfTwo().onlySuspected()));
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
        assertEquals(2, sum.edgeCount());
        assertEquals(Map.of("north/chat", 4, "south/chat", 2), sum.inFlightByModel());
        var load = sum.replicaLoad("replica-1");
        assertEquals(14, load.inFlight());
        assertEquals(2400, load.pendingPrefillTokens());
        assertEquals(2, load.suspectingEdges());
        assertEquals(2, load.hearingEdges());
        assertEquals(80, load.successes());
        assertEquals(6, load.failures());
        var cut = decoded("beyond-widths").replicaLoad("replica-1");
        assertEquals(255, cut.suspectingEdges());
        assertEquals(255, cut.hearingEdges());
        assertEquals(32_767, cut.successes());
        assertEquals(0, cut.failures());
    }
}
