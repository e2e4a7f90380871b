package martenloom.edge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Leases of duties at an edge: late and doubtful grants change nothing. */
final class HeldLeasesTest {
    private static final long LEASE_US = 2_500_000;
    private final HeldLeases duties = new HeldLeases();

    @Test
    void aLateOlderGrantNeitherReplacesNorProlongsANewerOne() {
        assertTrue(duties.granted("jobs/north", 3, 1_000_000, LEASE_US, 1_100_000));
        assertTrue(duties.granted("jobs/north", 5, 1_200_000, LEASE_US, 1_300_000));
        assertFalse(duties.granted("jobs/north", 3, 1_250_000, LEASE_US, 1_400_000));
        assertEquals(Optional.of(5L), duties.grantInForce("jobs/north", 3_399_999));
        assertEquals(Optional.empty(), duties.grantInForce("jobs/north", 3_400_000));
    }

    @Test
    void aLeaseRunsFromTheAskingAndARenewalThatComesLateShortensNothing() {
        assertTrue(duties.granted("k", 1, 2_000_000, LEASE_US, 2_100_000));
        assertTrue(
                duties.granted("k", 1, 1_000_000, LEASE_US, 2_200_000),
                "an older renewal of the same grant");
        assertTrue(duties.holds("k", 4_000_000));
        assertEquals(Map.of("k", 1L), duties.held(4_000_000));
        assertFalse(
                duties.granted("k", 1, 9_000_000, LEASE_US, 4_000_000),
                "this life has not asked yet");
        assertFalse(duties.holds("k", 5_000_000));
    }
}
