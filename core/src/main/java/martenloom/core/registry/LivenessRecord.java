package martenloom.core.registry;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;

/**
 * That a replica has sent a heartbeat, or an edge a renewal, which says nothing new: the key of the
 * row, its number and its age. It counts only where the row is known as the sender knows it, which
 * the digest tells; where it is not, the row is sent whole sooner or later, by repair at the
 * latest.
 *
 * @param key the id of a replica, the address of an edge
 * @param ageMs how long ago the heartbeat came in
 */
record LivenessRecord(String key, int digest, long sequence, long ageMs) {
    private static final long US_PER_MS = 1000;

    static LivenessRecord of(ReplicaRecord replica, long nowUs) {
        return new LivenessRecord(
                replica.id(),
                replica.digest(),
                replica.sequence(),
                (nowUs - replica.lastHeartbeatUs()) / US_PER_MS);
    }

    static LivenessRecord of(EdgeRecord edge, long nowUs) {
        return new LivenessRecord(
                edge.ip(),
                edge.digest(),
                edge.sequence(),
                (nowUs - edge.lastRenewalUs()) / US_PER_MS);
    }

    /** When the heartbeat came in, by the clock by which it was sent at this moment. */
    long heardUs(long sentUs) {
        return sentUs - ageMs * US_PER_MS;
    }

    void write(RecordWriter out) {
        out.shortText(key).i32(digest).varint(sequence).varint(ageMs);
    }

    static LivenessRecord read(RecordReader in) {
        return new LivenessRecord(in.shortText(), in.i32(), in.varint(), in.varint());
    }
}
