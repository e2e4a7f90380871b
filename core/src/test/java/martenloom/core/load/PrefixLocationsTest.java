package martenloom.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.load.PrefixLocations.Audience;
import org.junit.jupiter.api.Test;

/** Locations go to each audience once, and only those of own edges go on to other homes. */
final class PrefixLocationsTest {
    private final PrefixLocations locations = new PrefixLocations();

    @Test
    void locationsGoToEachAudienceOnceAndOnlyThoseOfOwnEdgesGoOn() {
        locations.addFromEdge("p1", "r1");
        locations.addFromHome("p2", "r2");
        for (var audience : Audience.values()) {
            var out = new RecordWriter();
            locations.drainTo(out, audience);
            var sent =
                    new RecordReader(out.bytes(), false)
                            .list(location -> location.text() + location.text());
            assertEquals(
                    audience == Audience.EDGES ? List.of("p1r1", "p2r2") : List.of("p1r1"), sent);
        }
        assertFalse(locations.isPendingForEdges());
    }
}
