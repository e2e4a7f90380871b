package martenloom.launcher.harness;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/**
 * A client of tests: one exchange on a connection of its own, read strictly by the framing rules to
 * its end. Stateless and thread-safe; the calling thread blocks.
 */
public final class TestHttpClient {
    private static final int CONNECT_TIMEOUT_MS = 3_000;
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final String STATUS_LINE_START = "HTTP/1.1 ";
    private static final int STATUS_LINE_BYTES = STATUS_LINE_START.length() + "200".length();
    private static final int HEXADECIMAL = 16;

    private TestHttpClient() {}

    /**
     * Sends a request and reads the response.
     *
     * @param address host and port
     * @param head start line and header fields, each with its line end, without a length
     * @return the response, or {@link HttpReply#NONE} where the connection failed
     */
    public static HttpReply call(String address, String head, String body) {
        try (var socket = open(address)) {
            var content = body.getBytes(StandardCharsets.UTF_8);
            var length =
                    content.length > 0 || head.startsWith("POST")
                            ? "Content-Length: " + content.length + "\r\n"
                            : "";
            var out = socket.getOutputStream();
            out.write((head + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(content);
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return HttpReply.NONE;
        }
    }

    /** A connection on which a test writes and reads bytes of its own. */
    public static Socket open(String address) throws IOException {
        var colon = address.lastIndexOf(':');
        var socket = new Socket();
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** A complete request as a client sends it to an edge. */
    public static byte[] request(String path, String attempt, String more, String body) {
        var head = edgeHead(path, attempt) + more + "Content-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Start line and common header fields of a request to an edge. */
    static String edgeHead(String path, String attempt) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: "
                + attempt
                + "\r\nX-Time-Remaining: 8000\r\n";
    }

    /** Reads one response. */
    public static HttpReply read(InputStream in) throws IOException {
        var statusLine = line(in);
        if (statusLine.length() < STATUS_LINE_BYTES) {
            return HttpReply.NONE;
        }
        var status =
                Integer.parseInt(
                        statusLine.substring(STATUS_LINE_START.length(), STATUS_LINE_BYTES));
        var fields = fields(in);
        var body = new ByteArrayOutputStream();
        var complete =
                fields.containsKey("Transfer-Encoding")
                        ? readChunks(in, body)
                        : readExactly(
                                in,
                                body,
                                Integer.parseInt(fields.getOrDefault("Content-Length", "0")));
        return new HttpReply(status, fields, body.toByteArray(), complete);
    }

    /** Reads header fields up to the empty line; names compare in any case. */
    static TreeMap<String, String> fields(InputStream in) throws IOException {
        var fields = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
        for (var line = line(in); !line.isEmpty(); line = line(in)) {
            var colon = line.indexOf(':');
            fields.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        return fields;
    }

    private static boolean readExactly(InputStream in, ByteArrayOutputStream out, int length)
            throws IOException {
        var bytes = in.readNBytes(length);
        out.write(bytes);
        return bytes.length == length;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream out)
            throws IOException {
        while (true) {
            var line = line(in);
            if (line.isEmpty()) {
                return false;
            }
            var length = Integer.parseInt(line, HEXADECIMAL);
            if (!readExactly(in, out, length)) {
                return false;
            }
            line(in);
            if (length == 0) {
                return true;
            }
        }
    }

    /** The next line without its end; empty at the end of the stream. */
    static String line(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (var next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
