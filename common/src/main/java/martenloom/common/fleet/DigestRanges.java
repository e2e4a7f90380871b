package martenloom.common.fleet;

/**
 * The ranges over which copies of the registry are compared by digests. The spread of keys over
 * ranges is part of the wire format.
 */
public final class DigestRanges {
    /** How many ranges there are. */
    public static final int COUNT = 16;

    private static final int HASH_MULTIPLIER = 0x9E3779B9;
    private static final int HASH_SHIFT = 16;

    private DigestRanges() {}

    /** The range of a key, from 0 to {@link #COUNT} - 1. */
    public static int of(String key) {
        return Math.floorMod(key.hashCode() * HASH_MULTIPLIER >>> HASH_SHIFT, COUNT);
    }
}
