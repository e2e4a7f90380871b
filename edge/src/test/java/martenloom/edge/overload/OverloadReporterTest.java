package martenloom.edge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import org.junit.jupiter.api.Test;

/** The rules by which overload reports are made. */
final class OverloadReporterTest {
    @Test
    void aRestartedReporterAndASuccessorSortAboveWithoutADiskOfTheirOwn() {
        var old = new OverloadReporter("north", "m", "a");
        old.onLease(7);
        var last = Optional.<OverloadReport>empty();
        for (var i = 0; i < 50; i++) {
            last = old.observe(3);
        }
        var again = new OverloadReporter("north", "m", "b");
        again.onLease(8);
        var first = Optional.<OverloadReport>empty();
        for (var i = 0; first.isEmpty(); i++) {
            first = again.observe(3);
        }
        assertTrue(first.get().sequence().compareTo(last.get().sequence()) > 0);
        var receiver = new OverloadReceiver();
        assertTrue(receiver.onReport(first.get(), 0));
        assertFalse(receiver.onReport(last.get(), 0), "the former claimant is ignored");
    }

    @Test
    void theReporterSmoothsHoldsAndEndsOnce() {
        var reporter = new OverloadReporter("north", "m", "a");
        reporter.onLease(1);
        assertTrue(reporter.observe(0.2).isEmpty());
        assertTrue(reporter.observe(1.5).isEmpty(), "one sample is smoothed away");
        var up = Optional.<OverloadReport>empty();
        for (var i = 0; i < 10; i++) {
            up = reporter.observe(1.5);
        }
        assertTrue(up.get().percent() > 50);
        var held = reporter.observe(0.6);
        assertTrue(held.get().percent() > 0, "between the bounds the state is held");
        var ends = 0;
        for (var i = 0; i < 20; i++) {
            ends +=
                    reporter.observe(0.1).filter(report -> report.validityUs() == 0).isPresent()
                            ? 1
                            : 0;
        }
        assertEquals(1, ends);
    }

    @Test
    void aReportTravelsAsARecord() {
        var sent =
                new OverloadReport(
                        "north",
                        "m",
                        "10.0.0.1",
                        new ReportSequence(3, 9),
                        5,
                        OverloadReport.LOSS,
                        70);
        var out = new RecordWriter(1);
        sent.write(out);
        assertEquals(sent, OverloadReport.read(new RecordReader(out.bytes(), true)));
    }
}
