package martenloom.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.load.LoadSummary;
import org.junit.jupiter.api.Test;

/**
 * Parts of edges add up once each; what is late, repeated, of a former life or lapsed does not
 * count.
 */
final class LoadAggregatorTest {
    private final LoadAggregator d = new LoadAggregator();

    private static LoadSummary part(int inHand, int flights) {
        var t = LoadSummary.ofEdge();
        t.addReplica("r", inHand, inHand * 100, false);
        for (var i = 0; i < flights; i++) {
            t.addInFlight("north/m");
        }
        return t;
    }

    private int whole(long now) {
        return d.whole(d.own(now), now).replicaLoad("r").inFlight();
    }

    @Test
    void partsAddUpAndComeBackWhole() {
        assertTrue(d.take("e1", 1, 1, part(3, 4), 0));
        assertTrue(d.take("e2", 9, 1, part(2, 1), 0));
        assertTrue(d.takeHome("h2", 5, 1, new LoadSummary().add(part(5, 2)).add(part(1, 1)), 0));
        var w =
                LoadSummary.read(
                        new RecordReader(
                                d.whole(d.own(0), 0).write(new RecordWriter()).bytes(), false));
        assertEquals(11, w.replicaLoad("r").inFlight());
        assertEquals(1100, w.replicaLoad("r").pendingPrefillTokens());
        assertEquals(8, w.inFlightByModel().get("north/m"));
        assertEquals(4, w.edgeCount());
        assertEquals(
                8,
                w.subtract(part(3, 4)).replicaLoad("r").inFlight(),
                "an edge takes its own part away");
    }

    @Test
    void lateRepeatedAndFormerLivesAreIgnored() {
        assertTrue(d.take("e1", 1, 2, part(3, 0), 0));
        assertFalse(d.take("e1", 1, 2, part(9, 0), 0));
        assertFalse(d.take("e1", 1, 1, part(9, 0), 0));
        assertTrue(d.take("e1", 2, 1, part(4, 0), 0));
        assertFalse(d.take("e1", 1, 3, part(9, 0), 0), "a former life");
        assertEquals(4, whole(0));
        assertEquals(1, d.seqOf("e1"));
    }

    @Test
    void partsLapse() {
        d.take("e1", 1, 1, part(3, 0), 0);
        d.take("e2", 1, 1, part(2, 0), 1_500_000);
        d.takeHome("h2", 1, 1, part(7, 0), 1_500_000);
        assertEquals(12, whole(1_900_000));
        assertEquals(9, whole(2_500_000), "the first edge was not heard");
        assertEquals(2, whole(3_100_000), "the peer home neither");
        d.lapse("e2");
        assertEquals(0, whole(3_100_000));
        assertTrue(d.take("e2", 1, 2, part(2, 0), 3_200_000), "the same life may come back");
    }

    @Test
    void placesGoEachWayOnceAndOnlyOwnOnesGoOn() {
        d.place("p1", "r1", true);
        d.place("p2", "r2", false);
        for (var w : LoadAggregator.Way.values()) {
            var o = new RecordWriter();
            d.writePlaces(o, w);
            var l = new RecordReader(o.bytes(), false).list(x -> x.text() + x.text());
            assertEquals(
                    w == LoadAggregator.Way.EDGES ? List.of("p1r1", "p2r2") : List.of("p1r1"), l);
        }
        assertFalse(d.hasPlaces());
    }
}
