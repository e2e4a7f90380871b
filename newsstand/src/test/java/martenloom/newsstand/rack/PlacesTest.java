package martenloom.newsstand.rack;

import static org.junit.jupiter.api.Assertions.*;

import martenloom.galley.record.*;
import org.junit.jupiter.api.*;

/** Where shared parts are kept is told once to each kind of sibling, and the newest word counts. */
final class PlacesTest {
    private static Rec.In told(Places p, boolean far) {
        var o = new Rec.Out();
        p.write(o, far);
        return new Rec.In(o.bytes(), false);
    }

    @Test
    void aSendingIsToldNearAndFarOnceAndTheNewestCounts() {
        var a = new Places();
        var b = new Places();
        var c = new Places();
        a.put("part", "r1");
        b.read(told(a, false));
        c.read(told(a, true));
        assertEquals("r1", b.keeper("part").get());
        assertEquals("r1", c.keeper("part").get());
        a.put("part", "r2");
        b.read(told(a, false));
        assertEquals("r2", b.keeper("part").get());
        var again = new Places();
        again.read(told(a, false));
        assertTrue(again.keeper("part").isEmpty(), "what was told is not told again");
        assertTrue(told(b, false).texts().isEmpty(), "what was heard is not passed on");
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
