package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The longest time of a route counts for one to two windows, and then is forgotten. */
final class RecentMaximumTest {
    private static final long WINDOW_US = 10_000_000;
    private static final long UNKNOWN_US = 7;

    private final RecentMaximum maximum = new RecentMaximum();

    @Test
    void nothingSeenGivesTheUnknownTime() {
        assertEquals(UNKNOWN_US, maximum.maximumUs("route", UNKNOWN_US, WINDOW_US));
    }

    @Test
    void theLongestOfThisWindowAndTheLastCounts() {
        var now = 5 * WINDOW_US;
        maximum.record("route", 300, now);
        maximum.record("route", 200, now + 1);
        assertEquals(300, maximum.maximumUs("route", UNKNOWN_US, now + 2));
        maximum.record("route", 100, now + WINDOW_US);
        assertEquals(300, maximum.maximumUs("route", UNKNOWN_US, now + WINDOW_US + 1));
        assertEquals(100, maximum.maximumUs("route", UNKNOWN_US, now + 2 * WINDOW_US));
        assertEquals(UNKNOWN_US, maximum.maximumUs("route", UNKNOWN_US, now + 4 * WINDOW_US));
        assertEquals(UNKNOWN_US, maximum.maximumUs("other", UNKNOWN_US, now));
    }
}
