package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.SettingsFile;
import org.junit.jupiter.api.Test;

/**
 * What an edge makes of records of a replica that drains or was deregistered, in whatever order
 * they come.
 */
final class ReplicaTableTest {
    private static final String SETTINGS =
            """
            NodeName = "e"
            IpAddress = "10.0.0.1"
            Zone = "a"
            Region = "g"
            InternalPortRange = [1,2]
            SeedNodes = []
            Serves = []
            [Zones]
            a = "g"
            [ListenAddresses]
            """;
    private final ReplicaTable replicaTable = new ReplicaTable(SettingsFile.parse(SETTINGS));

    private static ReplicaRecord registration(long sequence, boolean draining, boolean gone) {
        var registration = new ReplicaRecord();
        registration.setId("i");
        registration.setAddress("10.0.0.9:80");
        registration.setZone("a");
        registration.setSequence(sequence);
        registration.setDraining(draining);
        registration.setEnded(gone);
        return registration;
    }

    @Test
    void aDeregisteredReplicaIsNotTakenAgainFromAHomeThatHasNotHeardOfIt() {
        replicaTable.register(registration(4, false, false));
        replicaTable.register(registration(5, true, true));
        replicaTable.register(registration(9, false, false));
        assertTrue(replicaTable.find("i").isEmpty());
    }

    @Test
    void aDeregistrationThatComesBeforeTheFirstRecordCounts() {
        replicaTable.register(registration(0, true, true));
        replicaTable.register(registration(3, false, false));
        assertTrue(replicaTable.find("i").isEmpty());
    }

    @Test
    void anOlderHeartbeatDoesNotUndoADrain() {
        replicaTable.register(registration(4, false, false));
        replicaTable.register(registration(6, true, false));
        replicaTable.register(registration(5, false, false));
        assertTrue(replicaTable.find("i").orElseThrow().isDraining());
    }
}
