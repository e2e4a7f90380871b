package martenloom.core.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The frames of a log, one behind the other. On disk, big-endian:
 *
 * <pre>
 * 0  int    length of the payload in bytes
 * 4  int    CRC-32 of the payload
 * 8  bytes  payload
 * </pre>
 */
final class LogFrames {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private LogFrames() {}

    /** The bytes of a frame for each payload. */
    static byte[] encode(Collection<byte[]> payloads) {
        var length = payloads.stream().mapToInt(payload -> HEADER_BYTES + payload.length).sum();
        var frames = ByteBuffer.allocate(length);
        for (var payload : payloads) {
            frames.putInt(payload.length).putInt(checksum(payload)).put(payload);
        }
        return frames.array();
    }

    /** The payloads up to the first frame that is torn or damaged. */
    static List<byte[]> decode(byte[] content) {
        var payloads = new ArrayList<byte[]>();
        var frames = ByteBuffer.wrap(content);
        while (frames.remaining() >= HEADER_BYTES) {
            var length = frames.getInt();
            var checksum = frames.getInt();
            if (length <= 0 || length > frames.remaining()) {
                return payloads;
            }
            var from = frames.position();
            var payload = Arrays.copyOfRange(content, from, from + length);
            if (checksum(payload) != checksum) {
                return payloads;
            }
            payloads.add(payload);
            frames.position(from + length);
        }
        return payloads;
    }

    private static int checksum(byte[] payload) {
        var checksum = new CRC32();
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}
