package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.Settings;
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
    private final ReplicaTable replicaTable = new ReplicaTable(Settings.parse(SETTINGS));

    private static ReplicaRecord row(long sequence, boolean draining, boolean gone) {
        var row = new ReplicaRecord();
        row.id = "i";
        row.address = "10.0.0.9:80";
        row.zone = "a";
        row.seq = sequence;
        row.draining = draining;
        row.gone = gone;
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
        assertTrue(replicaTable.slot("i").orElseThrow().row.draining);
    }
}
