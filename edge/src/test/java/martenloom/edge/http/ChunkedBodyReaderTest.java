package martenloom.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Chunked bodies are read strictly and however their bytes arrive. */
final class ChunkedBodyReaderTest {
    /** The payload of a body that is given in pieces of so many bytes, and where it ended. */
    private static String read(String text, int step) {
        var reader = new ChunkedBodyReader(400);
        var payload = new ByteArrayOutputStream();
        var bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        var position = 0;
        while (position < bytes.length && !reader.done()) {
            var to = Math.min(bytes.length, position + step);
            position = reader.read(bytes, position, to, payload::write);
        }
        return payload + (reader.done() ? " done at " + position : " open");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 100})
    void chunksAreReadHoweverTheyCome(int step) {
        var body = "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
        assertEquals("hello world done at " + body.length(), read(body + "GET", step));
        assertEquals("hel open", read("5\r\nhel", step));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 100})
    void trailersAreDropped(int step) {
        var body = "1\r\na\r\n0\r\nT: a\r\nU: b\r\n\r\n";
        assertEquals("a done at " + body.length(), read(body + "GET", step));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x\r\n", "\r\n", "5\nhello", "5\r\nhelloX", "fffffffff\r\n", "-1\r\n"})
    void badChunksAreRejected(String body) {
        assertThrows(MalformedMessageException.class, () -> read(body, 100));
    }

    @Test
    void extensionsAndTrailersAreBounded() {
        var extension = "1;" + "x".repeat(1025) + "\r\n";
        assertThrows(MalformedMessageException.class, () -> read(extension, 100));
        var line = "0\r\n" + "x".repeat(4097);
        assertThrows(MalformedMessageException.class, () -> read(line, 100));
        var lines = "0\r\n" + ("x".repeat(4000) + "\r\n").repeat(5) + "\r\n";
        assertThrows(MalformedMessageException.class, () -> read(lines, 100));
    }
}
