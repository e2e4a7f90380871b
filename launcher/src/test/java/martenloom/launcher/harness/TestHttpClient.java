package martenloom.launcher.harness;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client's side for tests: one exchange on a connection of its own, read strictly to its end. */
public final class TestHttpClient {
    private TestHttpClient() {}

    /** A response as it was read: status, fields and body. */
    public static final class Reply {
        public int status;
        public final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public String body = "";
        public boolean whole;
    }

    public static Reply call(String at, String head, String body) {
        var i = at.lastIndexOf(':');
        try (var s = new Socket()) {
            s.connect(
                    new InetSocketAddress(
                            at.substring(0, i), Integer.parseInt(at.substring(i + 1))),
                    3000);
            s.setSoTimeout(20_000);
            var b = body.getBytes(StandardCharsets.UTF_8);
            var h =
                    head
                            + (b.length > 0 || head.startsWith("POST")
                                    ? "Content-Length: " + b.length + "\r\n"
                                    : "")
                            + "\r\n";
            s.getOutputStream().write(h.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().write(b);
            s.getOutputStream().flush();
            return read(new BufferedInputStream(s.getInputStream()));
        } catch (IOException e) {
            return new Reply();
        }
    }

    /** A connection on which a test says and reads what it likes. */
    public static Socket open(String at) throws IOException {
        var i = at.lastIndexOf(':');
        var s = new Socket();
        s.connect(
                new InetSocketAddress(at.substring(0, i), Integer.parseInt(at.substring(i + 1))),
                3000);
        s.setSoTimeout(20_000);
        return s;
    }

    /** A whole request as a client sends it. */
    public static byte[] request(String path, String attempt, String more, String body) {
        return ("POST "
                        + path
                        + " HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: "
                        + attempt
                        + "\r\nX-Time-Remaining: 8000\r\n"
                        + more
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    public static Reply read(InputStream in) throws IOException {
        var r = new Reply();
        var l = line(in);
        if (l.length() < 12) {
            return r;
        }
        r.status = Integer.parseInt(l.substring(9, 12));
        for (l = line(in); !l.isEmpty(); l = line(in)) {
            var c = l.indexOf(':');
            r.fields.put(l.substring(0, c), l.substring(c + 1).strip());
        }
        var out = new ByteArrayOutputStream();
        if (r.fields.containsKey("Transfer-Encoding")) {
            r.whole = chunks(in, out);
        } else {
            var n = Integer.parseInt(r.fields.getOrDefault("Content-Length", "0"));
            out.write(in.readNBytes(n));
            r.whole = out.size() == n;
        }
        r.body = out.toString(StandardCharsets.UTF_8);
        return r;
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream out) throws IOException {
        while (true) {
            var l = line(in);
            if (l.isEmpty()) {
                return false;
            }
            var n = Integer.parseInt(l, 16);
            var b = in.readNBytes(n);
            out.write(b);
            if (b.length < n) {
                return false;
            }
            line(in);
            if (n == 0) {
                return true;
            }
        }
    }

    static String line(InputStream in) throws IOException {
        var b = new StringBuilder();
        for (var c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }
}
