package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import org.junit.jupiter.api.Test;

/** The owner of a prefix is reported to the home once, and the newest report counts. */
final class PrefixOwnersTest {
    private static RecordReader reported(PrefixOwners owners) {
        var out = new RecordWriter();
        owners.writeUnreported(out);
        return new RecordReader(out.bytes(), false);
    }

    @Test
    void aSendingIsReportedOnceAndTheNewestCounts() {
        var a = new PrefixOwners();
        var b = new PrefixOwners();
        a.onSent("part", "r1");
        assertFalse(a.isAllReported());
        b.readReported(reported(a));
        assertEquals("r1", b.ownerOf("part").get());
        a.onSent("part", "r2");
        b.readReported(reported(a));
        assertEquals("r2", b.ownerOf("part").get());
        assertTrue(a.isAllReported());
        var again = new PrefixOwners();
        again.readReported(reported(a));
        assertTrue(again.ownerOf("part").isEmpty(), "what was reported is not reported again");
        assertTrue(reported(b).texts().isEmpty(), "what was heard is not passed on");
    }

    @Test
    void itsSizeIsBounded() {
        var owners = new PrefixOwners();
        for (var i = 0; i < 5000; i++) {
            owners.onSent("p" + i, "r");
        }
        assertTrue(owners.ownerOf("p0").isEmpty());
        assertEquals("r", owners.ownerOf("p4999").get());
    }
}
