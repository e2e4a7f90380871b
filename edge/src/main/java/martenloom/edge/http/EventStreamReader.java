package martenloom.edge.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the body of a {@code text/event-stream} response into complete events as its bytes arrive.
 * On a stream that was resumed, events up to the one at which the client already is are dropped,
 * should the replica send some of them again. Not thread-safe.
 */
public final class EventStreamReader {
    /** Stands for an event id that is missing or no number; also: nothing is to be dropped. */
    public static final long NO_ID = -1;

    private static final byte[] NOTHING = new byte[0];
    private static final String ID_FIELD = "id:";
    private static final String ID_LINE = "\n" + ID_FIELD;
    private static final String EVENT_END = "\n\n";

    /** The first bytes of an event of which the end has not come. */
    private byte[] incomplete = NOTHING;

    /** Events up to this id are dropped; {@link #NO_ID} as soon as a later one has come. */
    private long dropUpToId;

    /**
     * @param lastDeliveredId the id after which a stream was resumed, or {@link #NO_ID}
     */
    public EventStreamReader(long lastDeliveredId) {
        dropUpToId = lastDeliveredId;
    }

    /** Takes bytes of the body and returns the events that they complete; empty if none. */
    public byte[] read(byte[] buffer, int offset, int length) {
        var bytes = Arrays.copyOf(incomplete, incomplete.length + length);
        System.arraycopy(buffer, offset, bytes, incomplete.length, length);
        var end = endOfLastEvent(bytes);
        incomplete = end == 0 ? bytes : Arrays.copyOfRange(bytes, end, bytes.length);
        return end == 0 ? NOTHING : withoutDelivered(bytes, end);
    }

    /** The bytes behind the last complete event. */
    public byte[] incomplete() {
        return incomplete;
    }

    private byte[] withoutDelivered(byte[] bytes, int end) {
        if (dropUpToId < 0) {
            return Arrays.copyOf(bytes, end);
        }
        var at = 0;
        while (at < end) {
            var rest = new String(bytes, at, end - at, StandardCharsets.ISO_8859_1);
            var eventEnd = rest.indexOf(EVENT_END);
            var event = eventEnd < 0 ? rest : rest.substring(0, eventEnd + EVENT_END.length());
            var id = parseId(lastId(event));
            if (id > dropUpToId || id < 0) {
                dropUpToId = NO_ID;
                break;
            }
            at += event.length();
        }
        return Arrays.copyOfRange(bytes, at, end);
    }

    /** The position behind the last blank line, or 0 where there is none. */
    private static int endOfLastEvent(byte[] bytes) {
        for (var i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] == '\n' && endsBlankLine(bytes, i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean endsBlankLine(byte[] bytes, int lineFeed) {
        return bytes[lineFeed - 1] == '\n'
                || lineFeed > 2 && bytes[lineFeed - 1] == '\r' && bytes[lineFeed - 2] == '\n';
    }

    /** The id of the last of these complete events that has one, or the empty string. */
    public static String lastId(byte[] events) {
        return lastId(new String(events, StandardCharsets.ISO_8859_1));
    }

    private static String lastId(String events) {
        var startsWithId = events.startsWith(ID_FIELD);
        var line = events.lastIndexOf(ID_LINE) + 1;
        if (line == 0 && !startsWithId) {
            return "";
        }
        return events.substring(line + ID_FIELD.length(), events.indexOf('\n', line)).strip();
    }

    /** The number that an event id stands for, or {@link #NO_ID}. */
    public static long parseId(String id) {
        try {
            return id.isEmpty() ? NO_ID : Long.parseLong(id);
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }
}
