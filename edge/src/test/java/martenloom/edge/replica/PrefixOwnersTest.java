package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import org.junit.jupiter.api.Test;

/** Where shared parts are kept is told to the home once, and the newest word counts. */
final class PrefixOwnersTest {
    private static RecordReader told(PrefixOwners p) {
        var o = new RecordWriter();
        p.write(o);
        return new RecordReader(o.bytes(), false);
    }

    @Test
    void aSendingIsToldOnceAndTheNewestCounts() {
        var a = new PrefixOwners();
        var b = new PrefixOwners();
        a.put("part", "r1");
        assertFalse(a.told());
        b.read(told(a));
        assertEquals("r1", b.prefixOwner("part").get());
        a.put("part", "r2");
        b.read(told(a));
        assertEquals("r2", b.prefixOwner("part").get());
        assertTrue(a.told());
        var again = new PrefixOwners();
        again.read(told(a));
        assertTrue(again.prefixOwner("part").isEmpty(), "what was told is not told again");
        assertTrue(told(b).texts().isEmpty(), "what was heard is not passed on");
    }

    @Test
    void itsSizeIsBounded() {
        var p = new PrefixOwners();
        for (var i = 0; i < 5000; i++) {
            p.put("p" + i, "r");
        }
        assertTrue(p.prefixOwner("p0").isEmpty());
        assertEquals("r", p.prefixOwner("p4999").get());
    }
}
