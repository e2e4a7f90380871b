package martenloom.core.state;

import java.util.Arrays;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The configuration changes that were applied, newest last, as one packed array of 16-byte digests.
 * A change that is sent again is recognised by it for as long as {@link #CAPACITY} further changes
 * have not been applied; a full record takes 32,000 bytes in memory, on disk and in each transfer
 * of a whole state, and one of 300 changes 4,800. Immutable.
 */
public final class AppliedChanges {
    /** The most changes that are remembered; the oldest is forgotten first. */
    public static final int CAPACITY = 2_000;

    /**
     * The length of one digest. With 2,000 entries, the odds that an unseen change matches one are
     * about 1 in 2^117.
     */
    public static final int DIGEST_BYTES = 16;

    /** The record before the first change. */
    public static final AppliedChanges EMPTY = new AppliedChanges(new byte[0]);

    private final byte[] packed;

    private AppliedChanges(byte[] packed) {
        this.packed = packed;
    }

    /** Whether a change with this digest is among those remembered. */
    public boolean contains(byte[] digest) {
        for (var at = packed.length - DIGEST_BYTES; at >= 0; at -= DIGEST_BYTES) {
            if (Arrays.equals(packed, at, at + DIGEST_BYTES, digest, 0, DIGEST_BYTES)) {
                return true;
            }
        }
        return false;
    }

    /** The record with one more change, and without the oldest if it was full. */
    public AppliedChanges with(byte[] digest) {
        var dropped = size() < CAPACITY ? 0 : DIGEST_BYTES;
        var kept = packed.length - dropped;
        var next = Arrays.copyOfRange(packed, dropped, packed.length + DIGEST_BYTES);
        System.arraycopy(digest, 0, next, kept, DIGEST_BYTES);
        return new AppliedChanges(next);
    }

    /** How many changes are remembered. */
    public int size() {
        return packed.length / DIGEST_BYTES;
    }

    /** Writes the record as one block of bytes. */
    public void write(RecordWriter out) {
        out.blob(packed);
    }

    /** Reads what {@link #write} wrote. */
    public static AppliedChanges read(RecordReader in) {
        var packed = in.blob();
        return new AppliedChanges(
                Arrays.copyOf(packed, packed.length / DIGEST_BYTES * DIGEST_BYTES));
    }
}
