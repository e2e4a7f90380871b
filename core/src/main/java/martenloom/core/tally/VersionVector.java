package martenloom.core.tally;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * How many adds of each origin are held: always the first ones, without a gap. An origin of which
 * none is held is not listed. Not thread-safe.
 */
final class VersionVector {
    private static final int HASH_FACTOR = 31;

    private final Map<Long, Long> heldByOrigin = new TreeMap<>();

    static VersionVector read(RecordReader in) {
        var vector = new VersionVector();
        for (var left = in.varint(); left > 0; left--) {
            vector.raise(in.i64(), in.varint());
        }
        return vector;
    }

    void write(RecordWriter out) {
        out.varint(heldByOrigin.size());
        heldByOrigin.forEach((origin, count) -> out.i64(origin).varint(count));
    }

    VersionVector copy() {
        var copy = new VersionVector();
        copy.heldByOrigin.putAll(heldByOrigin);
        return copy;
    }

    /** How many adds of an origin are held. */
    long held(long origin) {
        return heldByOrigin.getOrDefault(origin, 0L);
    }

    /** From now on at least so many adds of an origin are held. */
    void raise(long origin, long count) {
        if (count > held(origin)) {
            heldByOrigin.put(origin, count);
        }
    }

    void raiseAll(VersionVector other) {
        other.forEach(this::raise);
    }

    boolean covers(AddPosition position) {
        return held(position.origin()) >= position.sequence();
    }

    boolean covers(VersionVector other) {
        return other.heldByOrigin.entrySet().stream()
                .allMatch(entry -> held(entry.getKey()) >= entry.getValue());
    }

    /** Calls with each origin and its count, in the same order everywhere. */
    void forEach(BiConsumer<Long, Long> action) {
        heldByOrigin.forEach(action);
    }

    /** The same for equal vectors; differs for others but by accident. */
    long digest() {
        var digest = 0L;
        for (var entry : heldByOrigin.entrySet()) {
            digest = (digest * HASH_FACTOR + entry.getKey()) * HASH_FACTOR + entry.getValue();
        }
        return digest;
    }

    @Override
    public String toString() {
        return heldByOrigin.toString();
    }
}
