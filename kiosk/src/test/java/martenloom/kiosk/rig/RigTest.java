package martenloom.kiosk.rig;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.*;

/** The rig at a small size counts everybody, and says what is wrong with its arguments. */
final class RigTest {
    @Test
    void aSmallRunCountsEverybody() throws Exception {
        var s = Rig.measure(new Rig.Size(6, 3, 20, 3, 3, 2, 10, 1, 2), 96);
        assertEquals(6, s.readyEdges);
        assertEquals(20, s.replicasKnown);
        assertEquals(6, s.edgesHeard);
        assertEquals(2, s.changeMs.size());
        assertTrue(s.coreRecords > 0 && s.edgeRecords > 0 && s.coreBytes > 0 && s.edgeBytes > 0 && s.heapMb > 0);
    }

    @Test
    void badArgumentsEndWithOneLineAndTwo() {
        for (var a : new String[][] {{}, {"--edges", "x"}, {"--edges", "0"}, {"--edges", "4", "--cores", "2"}, {"--edges", "4", "more"}, {"--nodes", "4"}}) {
            assertEquals(2, Rig.run(a));
        }
    }
}
