package martenloom.edge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.edge.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded bytes of an overload report. */
final class OverloadReportGoldenTest {
    private final GoldenBytes golden = new GoldenBytes("overload-report.txt");

    private static OverloadReport report() {
        return new OverloadReport(
                "north",
                "chat",
                "10.9.2.10",
                new ReportSequence(4, 19),
                2_000_000,
                OverloadReport.LOSS,
                35);
    }

    /** The report by which a reporter ends the condition. */
    private static OverloadReport end() {
        var reporter = new OverloadReporter("south", "chat", "10.9.2.11");
        reporter.onLease(6);
        reporter.observe(4);
        var last = reporter.observe(0);
        while (last.orElseThrow().percent() > 0) {
            last = reporter.observe(0);
        }
        return last.orElseThrow();
    }

    private static byte[] encoded(OverloadReport report) {
        var out = new RecordWriter();
        report.write(out);
        return out.bytes();
    }

    private OverloadReport decoded(String name) {
        return OverloadReport.read(new RecordReader(golden.bytes(name), false));
    }

    @Test
    void reportsAreEncodedAsRecorded() {
        golden.check("report", encoded(report()));
        golden.check("end", encoded(end()));
    }

    @Test
    void recordedReportsAreDecodedAndEncodedAgain() {
        golden.check("report", encoded(decoded("report")));
        golden.check("end", encoded(decoded("end")));
        assertEquals(report(), decoded("report"));
        assertEquals("north/chat", decoded("report").key());
        assertEquals(0, decoded("end").validityUs());
        assertEquals(0, decoded("end").percent());
    }
}
