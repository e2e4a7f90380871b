package martenloom.edge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.edge.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded bytes of an overload report. */
final class OverloadReportGoldenTest {
    private final GoldenBytes golden = new GoldenBytes("overload-report.txt");

    private static Overload.Report report() {
        return new Overload.Report(
                "north",
                "chat",
                "10.9.2.10",
                new Overload.Sequence(4, 19),
                2_000_000,
                Overload.LOSS,
                35);
    }

    /** The report by which a reporter ends the condition. */
    private static Overload.Report end() {
        var reporter = new Overload.Reporter();
        reporter.granted(6);
        reporter.observe("south", "chat", "10.9.2.11", 4);
        var last = reporter.observe("south", "chat", "10.9.2.11", 0);
        while (last.orElseThrow().percent() > 0) {
            last = reporter.observe("south", "chat", "10.9.2.11", 0);
        }
        return last.orElseThrow();
    }

    private static byte[] encoded(Overload.Report report) {
        var out = new RecordWriter();
        report.write(out);
        return out.bytes();
    }

    private Overload.Report decoded(String name) {
        return Overload.Report.read(new RecordReader(golden.bytes(name), false));
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
