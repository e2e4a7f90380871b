package martenloom.edge.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.common.fleet.ReplicaRecord;
import org.junit.jupiter.api.Test;

/**
 * What an edge makes of records of a replica that drains or was deregistered, in whatever order
 * they come.
 */
final class ReplicaTableTest {
    private final ReplicaTable replicaTable = ReplicaFixture.table();

    private static ReplicaRecord registration(long sequence, boolean draining, boolean ended) {
        var registration = ReplicaFixture.registration("replica", sequence);
        registration.setDraining(draining);
        registration.setEnded(ended);
        return registration;
    }

    @Test
    void aDeregisteredReplicaIsNotTakenAgainFromAHomeThatHasNotHeardOfIt() {
        replicaTable.register(registration(4, false, false));
        replicaTable.register(registration(5, true, true));
        replicaTable.register(registration(9, false, false));
        assertTrue(replicaTable.find("replica").isEmpty());
    }

    @Test
    void aDeregistrationThatComesBeforeTheFirstRecordCounts() {
        replicaTable.register(registration(0, true, true));
        replicaTable.register(registration(3, false, false));
        assertTrue(replicaTable.find("replica").isEmpty());
    }

    @Test
    void anOlderHeartbeatDoesNotUndoADrain() {
        replicaTable.register(registration(4, false, false));
        replicaTable.register(registration(6, true, false));
        replicaTable.register(registration(5, false, false));
        assertTrue(replicaTable.find("replica").orElseThrow().isDraining());
    }
}
