package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import org.junit.jupiter.api.Test;

/**
 * A replica that goes down and up by turns is held off for twice as long each time, to a bound; a
 * calm while forgets it.
 */
final class HoldTest {
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

    private static ReplicaTable.Slot slot() {
        var r = new ReplicaRecord();
        r.setId("i");
        r.setAddress("10.0.0.9:80");
        r.setZone("a");
        r.setSequence(1);
        var replicaTable = new ReplicaTable(SETTINGS);
        replicaTable.take(r);
        return replicaTable.slot("i").get();
    }

    @Test
    void theHoldOffDoublesToABoundAndIsForgotten() {
        var s = slot();
        var now = 1_000_000_000L;
        for (var times : new int[] {1, 2, 4, 4, 4}) {
            s.hold(700_000, now);
            s.hold(700_000, now + 1000);
            assertEquals(
                    now + 1000 + 700_000L * times,
                    s.suspectUntilUs,
                    "the same trouble counts once");
            now += 3_000_000;
        }
        now += 20_000_000;
        s.hold(700_000, now);
        assertEquals(now + 700_000, s.suspectUntilUs);
    }

    @Test
    void aConnectionForgottenEarlyShortensTheTrustAndNeverToNothing() {
        var s = slot();
        s.forgot(5_000_000);
        assertEquals(3_000_000, s.idleTrustUs());
        s.forgot(9_000_000);
        assertEquals(3_000_000, s.idleTrustUs());
        s.forgot(1);
        assertEquals(200_000, s.idleTrustUs());
    }
}
