package martenloom.core.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * What a file holds: a payload and the time of day at which it was written. On disk, big-endian:
 *
 * <pre>
 *  0  int    length of the payload in bytes
 *  4  long   CRC-32 of all that follows
 * 12  long   time of day in milliseconds
 * 20  bytes  payload
 * </pre>
 *
 * @param payload the content as it was handed to the store
 * @param writtenAtMs the time of day, by the clock of the machine
 */
record FileFrame(byte[] payload, long writtenAtMs) {
    private static final int CHECKSUM_AT = Integer.BYTES;
    private static final int TIME_AT = CHECKSUM_AT + Long.BYTES;
    private static final int PAYLOAD_AT = TIME_AT + Long.BYTES;

    /** The content of the file. */
    byte[] encode() {
        var file =
                ByteBuffer.allocate(PAYLOAD_AT + payload.length)
                        .putInt(payload.length)
                        .putLong(0)
                        .putLong(writtenAtMs)
                        .put(payload);
        return file.putLong(CHECKSUM_AT, checksum(file.array())).array();
    }

    /** Reads the content of a file; empty when it is torn or damaged. */
    static Optional<FileFrame> decode(byte[] content) {
        if (content.length < PAYLOAD_AT) {
            return Optional.empty();
        }
        var file = ByteBuffer.wrap(content);
        if (file.getInt() != content.length - PAYLOAD_AT || file.getLong() != checksum(content)) {
            return Optional.empty();
        }
        var payload = Arrays.copyOfRange(content, PAYLOAD_AT, content.length);
        return Optional.of(new FileFrame(payload, file.getLong()));
    }

    private static long checksum(byte[] content) {
        var checksum = new CRC32();
        checksum.update(content, TIME_AT, content.length - TIME_AT);
        return checksum.getValue();
    }
}
