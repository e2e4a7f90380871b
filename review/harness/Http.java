package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client for HTTP/1.1: one call on a connection of its own, or several on a kept one. */
public final class Http implements AutoCloseable {
    /** An answer; status 0 stands for none. */
    static final class Reply {
        final int status;
        final Map<String, String> fields;
        final byte[] body;
        /** Whether the answer was there to its end. */
        final boolean complete;

        Reply(int status, Map<String, String> fields, byte[] body, boolean complete) {
            this.status = status;
            this.fields = fields;
            this.body = body;
            this.complete = complete;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    static final Reply NONE = new Reply(0, Map.of(), new byte[0], false);

    final Socket socket = new Socket();
    private InputStream in;

    Http(String ip, int port, int timeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        socket.connect(new InetSocketAddress(ip, port), 1000);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    static Reply get(String ip, int port, String path, int timeoutMs) {
        return call(ip, port, "GET", path, "", "", timeoutMs);
    }

    static Reply call(
            String ip, int port, String method, String path, String more, String body, int timeoutMs) {
        try (var http = new Http(ip, port, timeoutMs)) {
            http.send(method, path, "Connection: close\r\n" + more, body.getBytes(StandardCharsets.UTF_8));
            return http.receive();
        } catch (IOException e) {
            return NONE;
        }
    }

    void send(String method, String path, String more, byte[] body) throws IOException {
        var host = more.toLowerCase(Locale.ROOT).contains("host:") ? "" : "Host: c\r\n";
        var length = body.length > 0 || method.equals("POST")
                ? "Content-Length: " + body.length + "\r\n" : "";
        var head = method + " " + path + " HTTP/1.1\r\n" + host + more + length + "\r\n";
        var out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        socket.getOutputStream().write(out.toByteArray());
    }

    /** Sends a request whose body takes this long, as on a narrow link. */
    void sendPaced(String method, String path, String more, byte[] body, int lastsMs) throws IOException {
        if (lastsMs == 0) {
            send(method, path, more, body);
            return;
        }
        var out = socket.getOutputStream();
        out.write((method + " " + path + " HTTP/1.1\r\n" + more + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        var steps = Math.max(1, lastsMs / 20);
        for (var i = 0; i < steps; i++) {
            var from = (int) ((long) body.length * i / steps);
            var to = (int) ((long) body.length * (i + 1) / steps);
            out.write(body, from, to - from);
            Kit.pause(20);
        }
    }

    Reply receive() throws IOException {
        var line = line(in);
        if (line.isEmpty()) {
            return NONE;
        }
        var status = Integer.parseInt(line.split(" ")[1]);
        var fields = fields(in);
        var body = new ByteArrayOutputStream();
        var complete = true;
        try {
            if (fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                readChunks(in, body);
            } else if (fields.containsKey("content-length")) {
                var length = Integer.parseInt(fields.get("content-length"));
                body.writeBytes(in.readNBytes(length));
                complete = body.size() == length;
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Reply(status, fields, body.toByteArray(), complete);
    }

    static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            var size = line(in);
            if (size.isEmpty()) {
                throw new EOFException();
            }
            var length = Integer.parseInt(size.split(";")[0].trim(), 16);
            var chunk = in.readNBytes(length);
            body.writeBytes(chunk);
            if (chunk.length < length) {
                throw new EOFException();
            }
            line(in);
            if (length == 0) {
                return;
            }
        }
    }

    /** A line without its end; empty at the end of the stream too. */
    static String line(InputStream in) throws IOException {
        var text = new StringBuilder();
        for (var next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }

    static Map<String, String> fields(InputStream in) throws IOException {
        var fields = new TreeMap<String, String>();
        for (var line = line(in); !line.isEmpty(); line = line(in)) {
            var colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
        }
        return fields;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
