package martenloom.common.fleet;

/**
 * The ranges over which copies of the registry are compared by digests. The spread of keys over
 * ranges is part of the wire format.
 */
public final class DigestRanges {
    /** How many ranges there are. */
    public static final int COUNT = 16;

    /** How many ranges there are where short forms are read. */
    public static final int FINE_COUNT = 256;

    private static final int HASH_MULTIPLIER = 0x9E3779B9;
    private static final int HASH_SHIFT = 16;

    private DigestRanges() {}

    /** The range of a key, from 0 to {@link #COUNT} - 1. */
    public static int of(String key) {
        return of(key, COUNT);
    }

    private static int of(String key, int count) {
        return Math.floorMod(key.hashCode() * HASH_MULTIPLIER >>> HASH_SHIFT, count);
    }

    /** The range of a key among the many ranges of the short forms, below {@link #FINE_COUNT}. */
    public static int fine(String key) {
        return of(key, FINE_COUNT);
    }

    /**
     * The digest of each range of replicas, as an edge and its home compare them. Those that have
     * ended do not count.
     */
    public static int[] replicaDigests(Iterable<ReplicaRecord> replicas) {
        var digests = new int[FINE_COUNT];
        for (var replica : replicas) {
            digests[fine(replica.id())] += replica.ended() ? 0 : replica.digest();
        }
        return digests;
    }
}
