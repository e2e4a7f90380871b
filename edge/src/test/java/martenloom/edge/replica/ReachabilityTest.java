package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import org.junit.jupiter.api.Test;

/**
 * The backoff of a replica that goes down and up by turns doubles to a bound and is forgotten after
 * a calm while; so is the trust in idle connections bounded.
 */
final class ReachabilityTest {
    private static final Settings SETTINGS =
            SettingsFile.parse(
                    "NodeName = \"e\"\n"
                            + "IpAddress = \"10.0.0.1\"\n"
                            + "Zone = \"a\"\n"
                            + "Region = \"g\"\n"
                            + "InternalPortRange = [1,2]\n"
                            + "SeedNodes = []\n"
                            + "Serves = []\n"
                            + "[Zones]\n"
                            + "a = \"g\"\n"
                            + "[ListenAddresses]\n");

    private static ReplicaEndpoint replica() {
        var registration = new ReplicaRecord();
        registration.setId("i");
        registration.setAddress("10.0.0.9:80");
        registration.setZone("a");
        registration.setSequence(1);
        var replicaTable = new ReplicaTable(SETTINGS);
        replicaTable.register(registration);
        return replicaTable.find("i").get();
    }

    @Test
    void theBackoffDoublesToABoundAndIsForgotten() {
        var replica = replica();
        var now = 1_000_000_000L;
        for (var times : new int[] {1, 2, 4, 4, 4}) {
            replica.reachability().onUnreachable(700_000, now);
            replica.reachability().onUnreachable(700_000, now + 1000);
            assertEquals(
                    now + 1000 + 700_000L * times,
                    replica.reachability().suspectedUntilUs(),
                    "the same failure counts once");
            now += 3_000_000;
        }
        now += 20_000_000;
        replica.reachability().onUnreachable(700_000, now);
        assertEquals(now + 700_000, replica.reachability().suspectedUntilUs());
    }

    @Test
    void anIdleConnectionThatWasResetShortensTheTrustAndNeverToNothing() {
        var replica = replica();
        replica.connections().onIdleReset(5_000_000);
        assertEquals(3_000_000, replica.connections().idleTrustUs());
        replica.connections().onIdleReset(9_000_000);
        assertEquals(3_000_000, replica.connections().idleTrustUs());
        replica.connections().onIdleReset(1);
        assertEquals(200_000, replica.connections().idleTrustUs());
    }
}
