package martenloom.common.callers;

import java.util.Arrays;

/**
 * The bytes of a body as they come. It grows with them, up to the announced length, so that a body
 * of that length is held once and not copied at its end. Not thread-safe.
 */
public final class BodyBuffer {
    private static final int INITIAL_BYTES = 4_096;
    private static final int UNKNOWN = -1;

    private final int announcedLength;
    private byte[] bytes;
    private int length;

    private BodyBuffer(int announcedLength) {
        this.announcedLength = announcedLength;
        bytes = new byte[announcedLength == UNKNOWN ? 0 : Math.min(announcedLength, INITIAL_BYTES)];
    }

    /** The buffer of a body whose length was announced. */
    public static BodyBuffer ofLength(int announcedLength) {
        return new BodyBuffer(announcedLength);
    }

    /** The buffer of a body of any length. */
    public static BodyBuffer ofUnknownLength() {
        return new BodyBuffer(UNKNOWN);
    }

    /** Appends bytes; a body never gets longer than was announced. */
    public void append(byte[] source, int offset, int count) {
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(bytes, grownTo(length + count));
        }
        System.arraycopy(source, offset, bytes, length, count);
        length += count;
    }

    private int grownTo(int needed) {
        var doubled = Math.max(Math.max(needed, INITIAL_BYTES), 2 * bytes.length);
        return announcedLength == UNKNOWN ? doubled : Math.min(doubled, announcedLength);
    }

    /** How many bytes have come. */
    public int length() {
        return length;
    }

    /** The bytes that it takes of the heap: at most twice those that have come, or a few KiB. */
    public int capacity() {
        return bytes.length;
    }

    /** All bytes; nothing may be appended any more. */
    public byte[] complete() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }
}
