package martenloom.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.load.LoadSummary;
import org.junit.jupiter.api.Test;

/**
 * Samples of edges add up once each; one that is late, repeated, of a former incarnation or lapsed
 * does not count.
 */
final class LoadAggregatorTest {
    private final LoadAggregator aggregator = new LoadAggregator();

    private static LoadSummary sample(int inHand, int flights) {
        var t = LoadSummary.ofEdge();
        t.addReplica("r", inHand, inHand * 100, false);
        for (var i = 0; i < flights; i++) {
            t.addInFlight("north/m");
        }
        return t;
    }

    private int total(long now) {
        return aggregator.total(aggregator.ownSum(now), now).replicaLoad("r").inFlight();
    }

    @Test
    void samplesAddUpAndComeBackAsATotal() {
        assertTrue(aggregator.acceptEdge("e1", 1, 1, sample(3, 4), 0));
        assertTrue(aggregator.acceptEdge("e2", 9, 1, sample(2, 1), 0));
        assertTrue(
                aggregator.acceptHome(
                        "h2", 5, 1, new LoadSummary().add(sample(5, 2)).add(sample(1, 1)), 0));
        var w =
                LoadSummary.read(
                        new RecordReader(
                                aggregator
                                        .total(aggregator.ownSum(0), 0)
                                        .write(new RecordWriter())
                                        .bytes(),
                                false));
        assertEquals(11, w.replicaLoad("r").inFlight());
        assertEquals(1100, w.replicaLoad("r").pendingPrefillTokens());
        assertEquals(8, w.inFlightByModel().get("north/m"));
        assertEquals(4, w.edgeCount());
        assertEquals(
                8,
                w.subtract(sample(3, 4)).replicaLoad("r").inFlight(),
                "an edge takes its own part away");
    }

    @Test
    void lateAndRepeatedSamplesAndThoseOfFormerIncarnationsAreRejected() {
        assertTrue(aggregator.acceptEdge("e1", 1, 2, sample(3, 0), 0));
        assertFalse(aggregator.acceptEdge("e1", 1, 2, sample(9, 0), 0));
        assertFalse(aggregator.acceptEdge("e1", 1, 1, sample(9, 0), 0));
        assertTrue(aggregator.acceptEdge("e1", 2, 1, sample(4, 0), 0));
        assertFalse(aggregator.acceptEdge("e1", 1, 3, sample(9, 0), 0), "a former incarnation");
        assertEquals(4, total(0));
        assertEquals(1, aggregator.sequenceOf("e1"));
    }

    @Test
    void samplesLapse() {
        aggregator.acceptEdge("e1", 1, 1, sample(3, 0), 0);
        aggregator.acceptEdge("e2", 1, 1, sample(2, 0), 1_500_000);
        aggregator.acceptHome("h2", 1, 1, sample(7, 0), 1_500_000);
        assertEquals(12, total(1_900_000));
        assertEquals(9, total(2_500_000), "the first edge was not heard");
        assertEquals(2, total(3_100_000), "the peer home neither");
        aggregator.removeEdge("e2");
        assertEquals(0, total(3_100_000));
        assertTrue(
                aggregator.acceptEdge("e2", 1, 2, sample(2, 0), 3_200_000),
                "the same incarnation may come back");
    }
}
