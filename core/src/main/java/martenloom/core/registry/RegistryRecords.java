package martenloom.core.registry;

import java.util.Collection;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.fleet.ReplicaRows;

/**
 * Encodes rows of the registry for other daemons. Times in a row are ages and remainders, counted
 * from the time of sending.
 */
final class RegistryRecords {
    private RegistryRecords() {}

    /** Rows for other core daemons; the time of sending tells them how long it was under way. */
    static byte[] update(
            Collection<ReplicaRecord> replicas, Collection<EdgeRecord> edges, long nowUs) {
        return new RecordWriter(RecordType.REGISTRY_UPDATE)
                .i64(nowUs)
                .list(replicas, (out, replica) -> replica.write(out, nowUs))
                .list(edges, (out, edge) -> edge.write(out, nowUs))
                .bytes();
    }

    /** Like {@link #update}, for daemons that read short rows. */
    static byte[] rows(
            Collection<ReplicaRecord> replicas, Collection<EdgeRecord> edges, long nowUs) {
        var out = new RecordWriter(RecordType.REGISTRY_ROWS).i64(nowUs);
        return ReplicaRows.write(replicas, out, nowUs)
                .shortList(edges, (writer, edge) -> edge.write(writer, nowUs))
                .bytes();
    }

    /** Heartbeats and renewals that say nothing new, for other core daemons. */
    static byte[] liveness(
            Collection<ReplicaRecord> replicas, Collection<EdgeRecord> edges, long nowUs) {
        return new RecordWriter(RecordType.REGISTRY_LIVENESS)
                .i64(nowUs)
                .shortList(replicas, (out, replica) -> LivenessRecord.of(replica, nowUs).write(out))
                .shortList(edges, (out, edge) -> LivenessRecord.of(edge, nowUs).write(out))
                .bytes();
    }

    /** Rows that have changed, for edges that read short rows. */
    static byte[] replicaChanges(Collection<ReplicaRecord> replicas, long nowUs) {
        return ReplicaRows.write(replicas, new RecordWriter(RecordType.REPLICA_CHANGES), nowUs)
                .bytes();
    }

    /** All rows of some ranges, and rows beside them, for an edge that reads short rows. */
    static byte[] replicaRanges(
            Collection<Integer> ranges, Collection<ReplicaRecord> replicas, long nowUs) {
        var out = new RecordWriter(RecordType.REPLICA_RANGES);
        out.shortList(ranges, (writer, range) -> writer.varint(range));
        return ReplicaRows.write(replicas, out, nowUs).bytes();
    }

    /**
     * Rows for edges.
     *
     * @param complete whether these are all replicas, so that an edge forgets the others
     */
    static byte[] replicaUpdate(Collection<ReplicaRecord> replicas, boolean complete, long nowUs) {
        return new RecordWriter(RecordType.REPLICA_UPDATE)
                .flag(complete)
                .list(replicas, (out, replica) -> replica.write(out, nowUs))
                .bytes();
    }
}
