package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import org.junit.jupiter.api.Test;

/** The owner of a prefix is reported to the home once, and the newest report counts. */
final class PrefixOwnersTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long REPORT_AGAIN_US = 1_000_000;

    private static RecordReader reported(PrefixOwners owners) {
        var out = new RecordWriter();
        owners.writeUnreported(out);
        return new RecordReader(out.bytes(), false);
    }

    private static void pass(PrefixOwners from, PrefixOwners to, long nowUs) {
        reported(from)
                .list(
                        location -> {
                            to.onReported(location.text(), location.text(), nowUs);
                            return 0;
                        });
    }

    @Test
    void aSendingIsReportedOnceAndTheNewestCounts() {
        var sender = new PrefixOwners();
        var receiver = new PrefixOwners();
        sender.onSent("part", "r1", NOW_US);
        assertFalse(sender.isAllReported());
        pass(sender, receiver, NOW_US);
        assertEquals("r1", receiver.ownerOf("part").get());
        sender.onSent("part", "r2", NOW_US);
        pass(sender, receiver, NOW_US);
        assertEquals("r2", receiver.ownerOf("part").get());
        assertTrue(sender.isAllReported());
        var again = new PrefixOwners();
        pass(sender, again, NOW_US);
        assertTrue(again.ownerOf("part").isEmpty(), "what was reported is not reported again");
        assertTrue(reported(receiver).texts().isEmpty(), "what was heard is not passed on");
    }

    @Test
    void whatThePeersKnowIsReportedAgainOnlyAfterAWhile() {
        var first = new PrefixOwners();
        var second = new PrefixOwners();
        first.onSent("part", "r1", NOW_US);
        pass(first, second, NOW_US);
        second.onSent("part", "r1", NOW_US + 1);
        first.onSent("part", "r1", NOW_US + 1);
        assertTrue(second.isAllReported(), "it has heard of it from the first");
        assertTrue(first.isAllReported());
        second.onSent("part", "r2", NOW_US + 2);
        assertFalse(second.isAllReported(), "an owner that changes is reported at once");
        pass(second, first, NOW_US + 2);
        first.onSent("part", "r2", NOW_US + 2 + REPORT_AGAIN_US);
        assertFalse(first.isAllReported(), "so that edges that came later hear of it");
    }

    @Test
    void itsSizeIsBounded() {
        var owners = new PrefixOwners();
        for (var i = 0; i < 5000; i++) {
            owners.onSent("p" + i, "r", NOW_US);
        }
        assertTrue(owners.ownerOf("p0").isEmpty());
        assertEquals("r", owners.ownerOf("p4999").get());
    }
}
