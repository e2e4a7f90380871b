package martenloom.launcher.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The rig at a small size counts everybody, and says what is wrong with its arguments. */
final class RigTest {
    @Test
    void aSmallRunCountsEverybody() throws Exception {
        var s = Rig.measure(new Rig.Size(6, 3, 20, 3, 3, 2, 10, 1, 2, 400, 2), 96);
        assertEquals(8, s.readyEdges, "six and two that joined while it was looked at");
        assertEquals(20, s.replicasKnown);
        assertEquals(8, s.edgesHeard);
        assertTrue(
                s.changeMs.size() >= 4,
                "two at the pace of 400 ms in a second, or three, and two afterwards");
        assertTrue(
                s.coreRecords > 0
                        && s.edgeRecords > 0
                        && s.coreBytes > 0
                        && s.edgeBytes > 0
                        && s.heapMb > 0);
    }

    @Test
    void badArgumentsEndWithOneLineAndTwo() {
        for (var a :
                new String[][] {
                    {},
                    {"--edges", "x"},
                    {"--edges", "0"},
                    {"--edges", "4", "--cores", "2"},
                    {"--edges", "4", "more"},
                    {"--nodes", "4"},
                    {"--edges", "4", "--pace", "-1"},
                    {"--edges", "4", "--joins", "101"},
                    {"--edges", "4", "--repeats", "0"}
                }) {
            assertEquals(2, Rig.run(a));
        }
    }
}
