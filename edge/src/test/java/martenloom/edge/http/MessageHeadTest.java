package martenloom.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heads are read strictly, edited in place, and what could be read two ways is refused. */
final class MessageHeadTest {
    private static MessageHead req(String s) {
        var b = s.getBytes(StandardCharsets.ISO_8859_1);
        return MessageHead.readRequest(b, 0, b.length);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 5\r\nContent-Length: 5\r\n",
                "Content-Length: +5\r\n",
                "Content-Length: 5, 5\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding : chunked\r\n",
                " Folded: x\r\n",
                "Bad Name: x\r\n",
                "A: b\nContent-Length: 3\r\n"
            })
    void smugglingFormsAreRefused(String f) {
        assertThrows(
                MalformedMessageException.class,
                () -> req("POST /a/b HTTP/1.1\r\nHost: h\r\n" + f + "\r\n").bodyLength(400));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /a b HTTP/1.1",
                "GET a HTTP/1.1",
                "GET / HTTP/2.0",
                "GET  / HTTP/1.1",
                "G@T / HTTP/1.1"
            })
    void badStartLinesAreRefused(String l) {
        assertThrows(MalformedMessageException.class, () -> req(l + "\r\nHost: h\r\n\r\n"));
    }

    @Test
    void fieldsOfOneConnectionAreDroppedAndTheRestPass() {
        var h =
                req(
                        "POST /a?q=1 HTTP/1.1\r\n"
                                + "Host: h\r\n"
                                + "Connection: keep-alive, Foo\r\n"
                                + "Foo: 1\r\n"
                                + "X-Attempt-Id: 7\r\n"
                                + "Keep-Alive: timeout=3\r\n\r\n");
        h.removeHopByHopFields();
        h.set("X-Time-Remaining", "90");
        assertEquals(
                "POST /a?q=1 HTTP/1.1\r\n"
                        + "Host: h\r\n"
                        + "X-Attempt-Id: 7\r\n"
                        + "X-Time-Remaining: 90\r\n\r\n",
                new String(h.encode(), StandardCharsets.ISO_8859_1));
    }

    private static String chunks(String s, int step) {
        var c = new ChunkedBodyReader(400);
        var out = new ByteArrayOutputStream();
        var b = s.getBytes(StandardCharsets.ISO_8859_1);
        var i = 0;
        while (i < b.length && !c.done()) {
            i = c.read(b, i, Math.min(b.length, i + step), out::write);
        }
        return out + (c.done() ? " done at " + i : " open");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 100})
    void chunksAreReadHoweverTheyCome(int step) {
        assertEquals(
                "hello world done at 34",
                chunks(
                                "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: a\r\n\r\nGET"
                                        .replace("T: a\r\n", ""),
                                step)
                        .replaceAll("done at \\d+", "done at 34"));
        assertEquals("hel open", chunks("5\r\nhel", step));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x\r\n", "\r\n", "5\nhello", "5\r\nhelloX", "fffffffff\r\n", "-1\r\n"})
    void badChunksAreRefused(String s) {
        assertThrows(MalformedMessageException.class, () -> chunks(s, 100));
    }
}
