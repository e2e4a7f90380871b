package martenloom.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heads are read strictly, edited in place, and what could be read two ways is rejected. */
final class MessageHeadTest {
    private static MessageHead request(String text) {
        var bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return MessageHead.readRequest(bytes, 0, bytes.length);
    }

    private static MessageHead response(String text) {
        var bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return MessageHead.readResponse(bytes, 0, bytes.length);
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
    void smugglingFormsAreRejected(String field) {
        assertThrows(
                MalformedMessageException.class,
                () ->
                        request("POST /a/b HTTP/1.1\r\nHost: h\r\n" + field + "\r\n")
                                .bodyLength(400));
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
    void badStartLinesAreRejected(String line) {
        assertThrows(MalformedMessageException.class, () -> request(line + "\r\nHost: h\r\n\r\n"));
    }

    @Test
    void fieldsOfOneConnectionAreDroppedAndTheRestPass() {
        var head =
                request(
                        "POST /a?q=1 HTTP/1.1\r\n"
                                + "Host: h\r\n"
                                + "Connection: keep-alive, Foo\r\n"
                                + "Foo: 1\r\n"
                                + "X-Attempt-Id: 7\r\n"
                                + "Keep-Alive: timeout=3\r\n\r\n");
        head.removeHopByHopFields();
        head.set("X-Time-Remaining", "90");
        assertEquals(
                "POST /a?q=1 HTTP/1.1\r\n"
                        + "Host: h\r\n"
                        + "X-Attempt-Id: 7\r\n"
                        + "X-Time-Remaining: 90\r\n\r\n",
                new String(head.encode(), StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/2 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2x0 OK", "ICY 200 OK", "X"})
    void badStatusLinesAreRejected(String line) {
        assertThrows(MalformedMessageException.class, () -> response(line + "\r\n\r\n"));
    }

    @Test
    void theStatusToAnswerWithIsCarriedAlong() {
        var tooLong = request("GET / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n");
        var fromClient =
                assertThrows(MalformedMessageException.class, () -> tooLong.bodyLength(400));
        assertEquals(413, fromClient.status());
        var fromReplica =
                assertThrows(MalformedMessageException.class, () -> tooLong.bodyLength(502));
        assertEquals(502, fromReplica.status());
    }

    @Test
    void theLengthOfABodyIsKnownFromItsFraming() {
        assertEquals(0, request("GET / HTTP/1.1\r\n\r\n").bodyLength(400));
        assertEquals(7, request("GET / HTTP/1.1\r\nContent-Length: 7\r\n\r\n").bodyLength(400));
        assertEquals(
                MessageHead.CHUNKED,
                request("GET / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n").bodyLength(400));
    }

    @Test
    void aCopiedRequestIsSentAsHttp11AndLeavesTheOriginalAsItIs() {
        var original = request("GET /a?q HTTP/1.0\r\nHost: h\r\nA: 1\r\na: 2\r\n\r\n");
        var copy = original.copyRequest();
        copy.set("A", "3");
        assertEquals(
                "GET /a?q HTTP/1.1\r\nHost: h\r\nA: 3\r\n",
                new String(copy.encodeWithoutBlankLine(), StandardCharsets.ISO_8859_1));
        assertEquals(2, original.count("A"));
        assertEquals("/a", original.path());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: Close\r\n"})
    void aConnectionEndsByVersionOrField(String lines) {
        assertTrue(response(lines + "\r\n").closesConnection());
        assertFalse(
                response("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n").closesConnection());
    }

    @Test
    void theEndOfAHeadIsFoundOnlyWhenItHasCome() {
        var bytes = "GET / HTTP/1.1\r\n\r\nrest".getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(18, MessageHead.endOf(bytes, 0, bytes.length));
        assertEquals(-1, MessageHead.endOf(bytes, 0, 17));
    }
}
