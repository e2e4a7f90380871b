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
        var sender = new PrefixOwners();
        var receiver = new PrefixOwners();
        sender.onSent("part", "r1");
        assertFalse(sender.isAllReported());
        receiver.readReported(reported(sender));
        assertEquals("r1", receiver.ownerOf("part").get());
        sender.onSent("part", "r2");
        receiver.readReported(reported(sender));
        assertEquals("r2", receiver.ownerOf("part").get());
        assertTrue(sender.isAllReported());
        var again = new PrefixOwners();
        again.readReported(reported(sender));
        assertTrue(again.ownerOf("part").isEmpty(), "what was reported is not reported again");
        assertTrue(reported(receiver).texts().isEmpty(), "what was heard is not passed on");
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
