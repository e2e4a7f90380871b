package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long an idle connection is trusted. */
final class ConnectionPoolTest {
    @Test
    void anIdleConnectionThatWasResetShortensTheTrustAndNeverToNothing() {
        var pool = new ConnectionPool();
        pool.onIdleReset(5_000_000);
        assertEquals(3_000_000, pool.idleTrustUs());
        pool.onIdleReset(9_000_000);
        assertEquals(3_000_000, pool.idleTrustUs());
        pool.onIdleReset(1);
        assertEquals(200_000, pool.idleTrustUs());
    }
}
