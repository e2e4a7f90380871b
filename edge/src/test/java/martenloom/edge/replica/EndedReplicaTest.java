package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.SettingsFile;
import org.junit.jupiter.api.Test;

/**
 * What an edge makes of rows of a replica that drains or was deregistered, in whatever order they
 * come.
 */
final class EndedReplicaTest {
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

    private static ReplicaRecord row(long sequence, boolean draining, boolean gone) {
        var row = new ReplicaRecord();
        row.setId("i");
        row.setAddress("10.0.0.9:80");
        row.setZone("a");
        row.setSequence(sequence);
        row.setDraining(draining);
        row.setEnded(gone);
        return row;
    }

    @Test
    void anEndedReplicaIsNotTakenAgainFromAHomeThatHasNotHeardOfIt() {
        replicaTable.take(row(4, false, false));
        replicaTable.take(row(5, true, true));
        replicaTable.take(row(9, false, false));
        assertTrue(replicaTable.slot("i").isEmpty());
    }

    @Test
    void anEndThatComesBeforeTheFirstRowCounts() {
        replicaTable.take(row(0, true, true));
        replicaTable.take(row(3, false, false));
        assertTrue(replicaTable.slot("i").isEmpty());
    }

    @Test
    void anOlderBeatDoesNotUndoADrain() {
        replicaTable.take(row(4, false, false));
        replicaTable.take(row(6, true, false));
        replicaTable.take(row(5, false, false));
        assertTrue(replicaTable.slot("i").orElseThrow().row.draining());
    }
}
