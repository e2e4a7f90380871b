package martenloom.common.jobs;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Bytes of a job that never change, and the digest by which they are named where they are kept
 * apart. The digest is computed when it is first asked for. Immutable and thread-safe.
 */
public final class Content {
    /** No bytes. */
    public static final Content EMPTY = new Content(new byte[0]);

    private final byte[] bytes;

    /** The digest once it was asked for, else empty; two threads may both compute it. */
    private volatile String digest = "";

    private Content(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Holds these bytes, which must not be changed any more. */
    public static Content of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Content(bytes);
    }

    /** The bytes themselves, not to be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /** The number of bytes. */
    public int length() {
        return bytes.length;
    }

    /** SHA-256 of the bytes in hexadecimal digits. */
    public String digest() {
        if (digest.isEmpty()) {
            digest = digestOf(bytes);
        }
        return digest;
    }

    /** The digest that names these bytes. */
    public static String digestOf(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
