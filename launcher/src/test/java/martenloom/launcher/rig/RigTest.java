package martenloom.launcher.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** The rig at a small size counts everybody, and says what is wrong with its arguments. */
final class RigTest {
    private static final int NETWORK = 96;
    private static final RigSize SMALL = new RigSize(6, 3, 20, 3, 3, 2, 10, 1, 2, 400, 2);

    @Test
    void aSmallRunCountsEverybody() throws IOException, InterruptedException {
        var result = Rig.measure(SMALL, NETWORK);
        var reach = result.reach();
        assertEquals(8, reach.readyEdges(), "six and two that joined while it was measured");
        assertEquals(20, reach.replicasKnown());
        assertEquals(8, reach.edgesHeard());
        assertTrue(
                result.changeMs().size() >= 4,
                "two at the pace of 400 ms in a second, or three, and two afterwards");
        assertTrue(
                result.core().records() > 0
                        && result.edge().records() > 0
                        && result.core().bytes() > 0
                        && result.edge().bytes() > 0
                        && result.heapMb() > 0);
    }

    @Test
    void badArgumentsEndWithOneLineAndTheUsageExitCode() {
        for (var arguments :
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
            assertEquals(2, Rig.run(arguments));
        }
    }
}
