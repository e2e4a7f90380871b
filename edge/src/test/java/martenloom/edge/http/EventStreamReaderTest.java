package martenloom.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams are cut into complete events, and a resumed one goes on behind its last event. */
final class EventStreamReaderTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    private static String read(EventStreamReader reader, String text, int step) {
        var bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        var events = new StringBuilder();
        for (var at = 0; at < bytes.length; at += step) {
            var length = Math.min(step, bytes.length - at);
            events.append(new String(reader.read(bytes, at, length), StandardCharsets.ISO_8859_1));
        }
        return events.toString();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 100})
    void onlyCompleteEventsArePassedOn(int step) {
        var reader = new EventStreamReader(EventStreamReader.NO_ID);
        assertEquals(EVENTS, read(reader, EVENTS + "id: 4\nda", step));
        assertEquals("id: 4\nda", new String(reader.incomplete(), StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 100})
    void eventsThatTheClientHasAreDropped(int step) {
        assertEquals("id: 3\ndata: c\n\n", read(new EventStreamReader(2), EVENTS, step));
        assertEquals("", read(new EventStreamReader(3), EVENTS, step));
    }

    @Test
    void fromTheFirstNewEventOnEverythingIsPassedOn() {
        var repeated = "id: 3\ndata: c\n\nid: 1\ndata: a\n\n";
        assertEquals(repeated, read(new EventStreamReader(2), repeated, 100));
        assertEquals("data: x\n\n", read(new EventStreamReader(2), "data: x\n\n", 100));
    }

    @Test
    void linesMayEndWithCarriageReturnsToo() {
        var events = "id: 1\r\ndata: a\r\n\r\n";
        var reader = new EventStreamReader(EventStreamReader.NO_ID);
        assertEquals(events, read(reader, events + "id", 100));
    }

    @Test
    void theLastIdIsThatOfTheLastEventThatHasOne() {
        assertEquals("3", lastId(EVENTS + "data: d\n\n"));
        assertEquals("1", lastId("id:1\n\n"));
        assertEquals("", lastId("data: id: 1\n\n"));
        assertEquals(EventStreamReader.NO_ID, EventStreamReader.parseId("x"));
        assertEquals(EventStreamReader.NO_ID, EventStreamReader.parseId(""));
    }

    private static String lastId(String events) {
        return EventStreamReader.lastId(events.getBytes(StandardCharsets.ISO_8859_1));
    }
}
