package martenloom.newsstand.rack;

import static org.junit.jupiter.api.Assertions.*;

import martenloom.galley.record.*;
import org.junit.jupiter.api.*;

/** Where shared parts are kept is told to the home once, and the newest word counts. */
final class PlacesTest {
    private static Rec.In told(Places p) {
        var o = new Rec.Out();
        p.write(o);
        return new Rec.In(o.bytes(), false);
    }

    @Test
    void aSendingIsToldOnceAndTheNewestCounts() {
        var a = new Places();
        var b = new Places();
        a.put("part", "r1");
        assertFalse(a.told());
        b.read(told(a));
        assertEquals("r1", b.keeper("part").get());
        a.put("part", "r2");
        b.read(told(a));
        assertEquals("r2", b.keeper("part").get());
        assertTrue(a.told());
        var again = new Places();
        again.read(told(a));
        assertTrue(again.keeper("part").isEmpty(), "what was told is not told again");
        assertTrue(told(b).texts().isEmpty(), "what was heard is not passed on");
    }

    @Test
    void itsSizeIsBounded() {
        var p = new Places();
        for (var i = 0; i < 5000; i++) {
            p.put("p" + i, "r");
        }
        assertTrue(p.keeper("p0").isEmpty());
        assertEquals("r", p.keeper("p4999").get());
    }
}
