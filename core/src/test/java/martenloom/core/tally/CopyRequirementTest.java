package martenloom.core.tally;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How widely an add is held before it is acknowledged, in calm and where fewer are reached. */
final class CopyRequirementTest {
    private static final Location NEAR = new Location("a", "north");
    private static final Location SAME_ZONE = new Location("a", "north");
    private static final Location SAME_REGION = new Location("b", "north");
    private static final Location FAR = new Location("c", "south");
    private static final CopyRequirement REQUIREMENT = new CopyRequirement(2, 1, 1);
    private static final List<Location> ALL = List.of(NEAR, SAME_ZONE, SAME_REGION, FAR);

    @Test
    void inCalmTheLossOfMachinesZonesOrOneRegionLeavesACopy() {
        assertFalse(REQUIREMENT.isMet(List.of(NEAR), ALL));
        assertFalse(REQUIREMENT.isMet(List.of(NEAR, FAR), ALL), "two machines may be lost");
        assertFalse(REQUIREMENT.isMet(List.of(NEAR, SAME_ZONE, SAME_REGION), ALL), "one region");
        assertTrue(REQUIREMENT.isMet(List.of(NEAR, SAME_ZONE, FAR), ALL));
    }

    @Test
    void whereFewerAreReachedTheySuffice() {
        assertTrue(REQUIREMENT.isMet(List.of(NEAR), List.of(NEAR)));
        assertFalse(REQUIREMENT.isMet(List.of(NEAR), List.of(NEAR, SAME_ZONE)));
        assertTrue(REQUIREMENT.isMet(List.of(NEAR, SAME_ZONE), List.of(NEAR, SAME_ZONE)));
        assertFalse(
                REQUIREMENT.isMet(
                        List.of(NEAR, SAME_ZONE, SAME_ZONE),
                        List.of(NEAR, SAME_ZONE, SAME_ZONE, SAME_REGION)),
                "another zone is reached");
    }
}
