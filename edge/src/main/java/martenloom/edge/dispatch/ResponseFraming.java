package martenloom.edge.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The bytes around the responses to clients: interim response, length, connection, chunks. */
final class ResponseFraming {
    /** The field of a response whose length is not known beforehand. */
    static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    private static final String CLOSE = "Connection: close\r\n";
    private static final String CRLF = "\r\n";

    private ResponseFraming() {}

    /** The field of a response whose length is known. */
    static String length(int bytes) {
        return "Content-Length: " + bytes + CRLF;
    }

    /** A head, with the field of its framing and the blank line behind it. */
    static byte[] head(byte[] responseHead, String framing, boolean closes) {
        var rest = bytes(framing + (closes ? CLOSE : "") + CRLF);
        var framed = Arrays.copyOf(responseHead, responseHead.length + rest.length);
        System.arraycopy(rest, 0, framed, responseHead.length, rest.length);
        return framed;
    }

    /** A chunk with this payload, which is not empty. */
    static byte[] chunk(byte[] payload) {
        var size = bytes(Integer.toHexString(payload.length) + CRLF);
        var chunk = Arrays.copyOf(size, size.length + payload.length + CRLF.length());
        System.arraycopy(payload, 0, chunk, size.length, payload.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        return chunk;
    }

    /** The end of a response in chunks. */
    static byte[] lastChunk() {
        return bytes("0" + CRLF + CRLF);
    }

    /** Tells a client that its body may come. */
    static byte[] continueReading() {
        return bytes("HTTP/1.1 100 Continue" + CRLF + CRLF);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
