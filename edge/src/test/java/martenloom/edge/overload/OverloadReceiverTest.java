package martenloom.edge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The rules by which overload reports are taken and reductions end. */
final class OverloadReceiverTest {
    private static OverloadReport report(long token, long counter, long validityUs, int percent) {
        return new OverloadReport(
                "north",
                "m",
                "10.0.0.1",
                new ReportSequence(token, counter),
                validityUs,
                OverloadReport.LOSS,
                percent);
    }

    private static int selected(OverloadReceiver receiver, int prompts, long now) {
        var selected = 0;
        for (var i = 0; i < prompts; i++) {
            selected += receiver.selectNext("north/m", now) ? 1 : 0;
        }
        return selected;
    }

    @Test
    void newerUpdatesEqualAndOlderAreIgnored() {
        var receiver = new OverloadReceiver();
        assertTrue(receiver.onReport(report(1, 5, 1_000_000, 20), 0));
        assertFalse(receiver.onReport(report(1, 5, 1_000_000, 90), 0));
        assertFalse(receiver.onReport(report(1, 4, 1_000_000, 90), 0));
        assertEquals(20, selected(receiver, 100, 1));
        assertTrue(receiver.onReport(report(1, 6, 1_000_000, 50), 0));
        assertEquals(50, selected(receiver, 100, 1));
        assertEquals(2, receiver.state("north/m").stale());
    }

    @Test
    void aMissingReportChangesNothing() {
        var receiver = new OverloadReceiver();
        receiver.onReport(report(1, 1, 2_000_000, 40), 0);
        assertEquals(40, selected(receiver, 100, 1_999_000));
        assertEquals(ReductionPhase.ACTIVE, receiver.state("north/m").phase());
    }

    @Test
    void zeroValidityEndsInSteps() {
        var receiver = new OverloadReceiver();
        receiver.onReport(report(1, 1, 2_000_000, 100), 0);
        assertEquals(10, selected(receiver, 10, 1));
        receiver.onReport(report(1, 2, 0, 0), 1000);
        var last = 1.0;
        for (var k = 0; k < ReductionState.STEPS; k++) {
            var state = receiver.state("north/m");
            state.advance(1000 + k * ReductionState.STEP_US);
            assertTrue(
                    state.share() < last && state.share() > 0, "step " + k + " gives back a part");
            last = state.share();
        }
        assertEquals(
                0, selected(receiver, 100, 1000 + ReductionState.STEPS * ReductionState.STEP_US));
        assertEquals(ReductionPhase.NONE, receiver.state("north/m").phase());
    }

    @Test
    void expiryEndsInStepsToo() {
        var receiver = new OverloadReceiver();
        receiver.onReport(report(1, 1, 1_000_000, 100), 0);
        receiver.state("north/m").advance(1_000_000);
        assertEquals(ReductionPhase.RETURNING, receiver.state("north/m").phase());
        assertTrue(receiver.state("north/m").share() < 1);
    }

    @Test
    void percentagesOfDifferentReportsAreNeverAdded() {
        var receiver = new OverloadReceiver();
        receiver.onReport(report(1, 1, 1_000_000, 60), 0);
        receiver.onReport(
                new OverloadReport(
                        "south",
                        "m",
                        "x",
                        new ReportSequence(1, 1),
                        1_000_000,
                        OverloadReport.LOSS,
                        60),
                0);
        assertEquals(60, selected(receiver, 100, 1));
        assertEquals(100, receiver.state("north/m").considered());
        assertEquals(60, receiver.state("north/m").selected());
    }

    @Test
    void aHundredPercentComesBackThroughProbesNotAtOnce() {
        var receiver = new OverloadReceiver();
        receiver.onReport(report(1, 1, 1_000_000, 100), 0);
        receiver.onReport(report(1, 2, 0, 0), 10);
        var through = 100 - selected(receiver, 100, 20);
        assertTrue(through > 0 && through <= 25, "through " + through);
    }

    @Test
    void anUnknownAlgorithmOrPercentageIsIgnored() {
        var receiver = new OverloadReceiver();
        assertFalse(
                receiver.onReport(
                        new OverloadReport(
                                "north", "m", "x", new ReportSequence(1, 1), 1_000_000, "rate", 60),
                        0));
        assertFalse(receiver.onReport(report(1, 1, 1_000_000, 101), 0));
        assertEquals(0, selected(receiver, 10, 1));
    }
}
