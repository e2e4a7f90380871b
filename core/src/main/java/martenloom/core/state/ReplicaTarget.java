package martenloom.core.state;

import java.util.Set;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * How many replicas of a deployment are to serve, and which of them rest.
 *
 * @param desired the number that is to serve
 * @param pinned whether the operator has unloaded the deployment; all replicas rest then
 * @param fencingToken the lease of the scaler that ordered it; 0 for the operator
 * @param resting the replicas that rest, in their order
 */
public record ReplicaTarget(int desired, boolean pinned, long fencingToken, Set<String> resting) {
    /** A deployment that the operator has unloaded. */
    public static final ReplicaTarget UNLOADED = new ReplicaTarget(0, true, 0, Set.of());

    void write(RecordWriter out) {
        out.i32(desired).flag(pinned).i64(fencingToken).texts(resting);
    }

    static ReplicaTarget read(RecordReader in) {
        return new ReplicaTarget(in.i32(), in.flag(), in.i64(), new TreeSet<>(in.texts()));
    }
}
