package martenloom.edge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.edge.overload.Overload.Phase;
import martenloom.edge.overload.Overload.Receiver;
import martenloom.edge.overload.Overload.Report;
import martenloom.edge.overload.Overload.Reporter;
import martenloom.edge.overload.Overload.Sequence;
import org.junit.jupiter.api.Test;

/** The rules of overload reports, on both halves. */
final class OverloadTest {
    private static Report r(long grant, long n, long validUs, int percent) {
        return new Report(
                "north", "m", "10.0.0.1", new Sequence(grant, n), validUs, Overload.LOSS, percent);
    }

    private static int selected(Receiver v, int of, long now) {
        var k = 0;
        for (var i = 0; i < of; i++) {
            k += v.select("north/m", now) ? 1 : 0;
        }
        return k;
    }

    @Test
    void newerUpdatesEqualAndOlderAreIgnored() {
        var v = new Receiver();
        assertTrue(v.take(r(1, 5, 1_000_000, 20), 0));
        assertFalse(v.take(r(1, 5, 1_000_000, 90), 0));
        assertFalse(v.take(r(1, 4, 1_000_000, 90), 0));
        assertEquals(20, selected(v, 100, 1));
        assertTrue(v.take(r(1, 6, 1_000_000, 50), 0));
        assertEquals(50, selected(v, 100, 1));
        assertEquals(2, v.at("north/m").stale);
    }

    @Test
    void aMissingReportChangesNothing() {
        var v = new Receiver();
        v.take(r(1, 1, 2_000_000, 40), 0);
        assertEquals(40, selected(v, 100, 1_999_000));
        assertEquals(Phase.ACTIVE, v.at("north/m").phase);
    }

    @Test
    void zeroValidityEndsInSteps() {
        var v = new Receiver();
        v.take(r(1, 1, 2_000_000, 100), 0);
        assertEquals(10, selected(v, 10, 1));
        v.take(r(1, 2, 0, 0), 1000);
        var last = 1.0;
        for (var k = 0; k < Receiver.STEPS; k++) {
            var s = v.at("north/m");
            v.tick(s, 1000 + k * Receiver.STEP_US);
            assertTrue(s.share < last && s.share > 0, "step " + k + " gives back a part");
            last = s.share;
        }
        assertEquals(0, selected(v, 100, 1000 + Receiver.STEPS * Receiver.STEP_US));
        assertEquals(Phase.NONE, v.at("north/m").phase);
    }

    @Test
    void expiryEndsInStepsToo() {
        var v = new Receiver();
        v.take(r(1, 1, 1_000_000, 100), 0);
        v.tick(v.at("north/m"), 1_000_000);
        assertEquals(Phase.RETURNING, v.at("north/m").phase);
        assertTrue(v.at("north/m").share < 1);
    }

    @Test
    void aRestartedReporterAndASuccessorSortAboveWithoutADiskOfTheirOwn() {
        var old = new Reporter();
        old.granted(7);
        var last = Optional.<Report>empty();
        for (var i = 0; i < 50; i++) {
            last = old.observe("north", "m", "a", 3);
        }
        var again = new Reporter();
        again.granted(8);
        var first = Optional.<Report>empty();
        for (var i = 0; first.isEmpty(); i++) {
            first = again.observe("north", "m", "b", 3);
        }
        assertTrue(first.get().seq().compareTo(last.get().seq()) > 0);
        var v = new Receiver();
        assertTrue(v.take(first.get(), 0));
        assertFalse(v.take(last.get(), 0), "the former claimant is ignored");
    }

    @Test
    void percentagesOfDifferentReportsAreNeverAdded() {
        var v = new Receiver();
        v.take(r(1, 1, 1_000_000, 60), 0);
        v.take(new Report("south", "m", "x", new Sequence(1, 1), 1_000_000, Overload.LOSS, 60), 0);
        assertEquals(60, selected(v, 100, 1));
        assertEquals(100, v.at("north/m").considered);
        assertEquals(60, v.at("north/m").selected);
    }

    @Test
    void aHundredPercentComesBackThroughProbesNotAtOnce() {
        var v = new Receiver();
        v.take(r(1, 1, 1_000_000, 100), 0);
        v.take(r(1, 2, 0, 0), 10);
        var through = 100 - selected(v, 100, 20);
        assertTrue(through > 0 && through <= 25, "through " + through);
    }

    @Test
    void anUnknownAlgorithmOrPercentageIsIgnored() {
        var v = new Receiver();
        assertFalse(
                v.take(
                        new Report("north", "m", "x", new Sequence(1, 1), 1_000_000, "rate", 60),
                        0));
        assertFalse(v.take(r(1, 1, 1_000_000, 101), 0));
        assertEquals(0, selected(v, 10, 1));
    }

    @Test
    void theReporterSmoothsHoldsAndEndsOnce() {
        var p = new Reporter();
        p.granted(1);
        assertTrue(p.observe("north", "m", "a", 0.2).isEmpty());
        assertTrue(p.observe("north", "m", "a", 1.5).isEmpty(), "one sample is smoothed away");
        var up = Optional.<Report>empty();
        for (var i = 0; i < 10; i++) {
            up = p.observe("north", "m", "a", 1.5);
        }
        assertTrue(up.get().percent() > 50);
        var held = p.observe("north", "m", "a", 0.6);
        assertTrue(held.get().percent() > 0, "between the bounds the state is held");
        var ends = 0;
        for (var i = 0; i < 20; i++) {
            ends +=
                    p.observe("north", "m", "a", 0.1).filter(x -> x.validityUs() == 0).isPresent()
                            ? 1
                            : 0;
        }
        assertEquals(1, ends);
    }

    @Test
    void aReportTravelsAsARecord() {
        var o = new RecordWriter(1);
        r(3, 9, 5, 70).write(o);
        assertEquals(r(3, 9, 5, 70), Report.read(new RecordReader(o.bytes(), true)));
    }
}
