package martenloom.common.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import org.junit.jupiter.api.Test;

/** What of a summary is exchanged on suspected replicas. */
final class LoadSummaryTest {
    private static LoadSummary encodedAndDecoded(LoadSummary summary) {
        var bytes = summary.write(new RecordWriter()).bytes();
        return LoadSummary.read(new RecordReader(bytes, false));
    }

    @Test
    void whoHeardASuspectedReplicaIsReportedWithTheSuspicion() {
        var suspecting = LoadSummary.ofEdge();
        suspecting.addReplica("suspected", 1, 0, true);
        suspecting.addReplica("other", 1, 0, false).setHearingEdges(1);
        var hearing = LoadSummary.ofEdge();
        hearing.addReplica("suspected", 2, 0, false).setHearingEdges(1);
        var reported =
                encodedAndDecoded(new LoadSummary().add(suspecting).add(hearing).onlySuspected());
        assertEquals(1, reported.replicaLoad("suspected").suspectingEdges());
        assertEquals(1, reported.replicaLoad("suspected").hearingEdges());
        assertEquals(
                0,
                reported.replicaLoad("other").hearingEdges(),
                "nobody suspects it, so it is not reported");
        var nothing = new LoadSummary().add(hearing).subtract(hearing);
        assertEquals(0, nothing.replicaLoad("suspected").hearingEdges());
    }
}
