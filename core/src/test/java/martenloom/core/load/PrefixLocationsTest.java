package martenloom.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.load.PrefixLocations.Location;
import org.junit.jupiter.api.Test;

/** Locations go to each audience once, and only those of own edges go on to other homes. */
final class PrefixLocationsTest {
    private static final Location FIRST = new Location("p1", "r1");
    private static final Location SECOND = new Location("p2", "r2");

    private final PrefixLocations locations = new PrefixLocations();

    @Test
    void locationsGoToEachAudienceOnceAndOnlyThoseOfOwnEdgesGoOn() {
        locations.addFromEdge(FIRST);
        locations.addFromHome(SECOND);
        for (var audience : Audience.values()) {
            var sent = locations.drain(audience);
            assertEquals(
                    audience == Audience.EDGES ? List.of(FIRST, SECOND) : List.of(FIRST), sent);
            var out = PrefixLocations.write(sent, new RecordWriter());
            assertEquals(sent, new RecordReader(out.bytes(), false).shortList(Location::read));
            var longForm = PrefixLocations.writeLong(sent, new RecordWriter());
            assertEquals(sent, new RecordReader(longForm.bytes(), false).list(Location::readLong));
            assertTrue(locations.drain(audience).isEmpty());
        }
        assertFalse(locations.isPendingForEdges());
    }

    @Test
    void theNewestReportIsKeptForSubscribersThatBegin() {
        locations.addFromEdge(FIRST);
        locations.addFromHome(new Location("p1", "r3"));
        locations.addFromSnapshot(new Location("p1", "old"));
        locations.addFromSnapshot(SECOND);
        assertEquals(List.of(new Location("p1", "r3"), SECOND), locations.kept());
    }
}
