package martenloom.edge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Role leases at an edge: late and doubtful grants change nothing. */
final class HeldLeasesTest {
    private static final long LEASE_US = 2_500_000;
    private final HeldLeases leases = new HeldLeases();

    @Test
    void aLateOlderGrantNeitherReplacesNorProlongsANewerOne() {
        assertTrue(leases.onGrant("jobs/north", 3, 1_000_000, LEASE_US, 1_100_000));
        assertTrue(leases.onGrant("jobs/north", 5, 1_200_000, LEASE_US, 1_300_000));
        assertFalse(leases.onGrant("jobs/north", 3, 1_250_000, LEASE_US, 1_400_000));
        assertEquals(Optional.of(5L), leases.fencingToken("jobs/north", 3_399_999));
        assertEquals(Optional.empty(), leases.fencingToken("jobs/north", 3_400_000));
    }

    @Test
    void aLeaseRunsFromItsRequestAndARenewalThatComesLateShortensNothing() {
        assertTrue(leases.onGrant("k", 1, 2_000_000, LEASE_US, 2_100_000));
        assertTrue(
                leases.onGrant("k", 1, 1_000_000, LEASE_US, 2_200_000),
                "an older renewal of the same grant");
        assertTrue(leases.holds("k", 4_000_000));
        assertEquals(Map.of("k", 1L), leases.heldRoles(4_000_000));
        assertFalse(
                leases.onGrant("k", 1, 9_000_000, LEASE_US, 4_000_000),
                "this incarnation has not requested yet");
        assertFalse(leases.holds("k", 5_000_000));
    }
}
