package martenloom.edge.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The head of a request or an answer: the start line's words and the fields in order. Filters edit
 * a head in place. The reading is strict: whatever two readers could understand differently is
 * refused, so that no request can be smuggled inside another.
 */
public final class Head {
    /**
     * A request or response head that cannot be taken as HTTP/1.1; carries the status to answer
     * with.
     */
    public static final class BadHead extends RuntimeException {
        public final int status;

        public BadHead(int status, String why) {
            super(why, (Throwable) null, false, false);
            this.status = status;
        }
    }

    private static final Set<String> HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "transfer-encoding",
                    "te",
                    "trailer",
                    "upgrade",
                    "content-length",
                    "proxy-authenticate",
                    "proxy-authorization");

    public String one = "";
    public String two = "";
    public String three = "";
    private final List<String> names = new ArrayList<>(16);
    private final List<String> values = new ArrayList<>(16);

    /** The place behind the blank line, or -1 while it has not come. */
    public static int end(byte[] b, int from, int to) {
        for (var i = Math.max(from, 3); i < to; i++) {
            if (b[i] == '\n' && b[i - 1] == '\r' && b[i - 2] == '\n' && b[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    public static Head request(byte[] b, int from, int end) {
        var h = read(b, from, end);
        if (!token(h.one)
                || !h.two.startsWith("/")
                || !h.three.equals("HTTP/1.1") && !h.three.equals("HTTP/1.0")) {
            throw new BadHead(400, "start line");
        }
        for (var i = 0; i < h.two.length(); i++) {
            if (h.two.charAt(i) <= ' ' || h.two.charAt(i) >= 127) {
                throw new BadHead(400, "target");
            }
        }
        return h;
    }

    public static Head answer(byte[] b, int from, int end) {
        var h = read(b, from, end);
        if (!h.one.startsWith("HTTP/1.") || h.two.length() != 3) {
            throw new BadHead(502, "status line");
        }
        for (var i = 0; i < 3; i++) {
            if (h.two.charAt(i) < '0' || h.two.charAt(i) > '9') {
                throw new BadHead(502, "status line");
            }
        }
        return h;
    }

    private static Head read(byte[] b, int from, int end) {
        var h = new Head();
        var s = new String(b, from, end - from - 4, StandardCharsets.ISO_8859_1);
        var lines = s.split("\r\n", -1);
        var w = lines[0].split(" ", 3);
        if (w.length < 2) {
            throw new BadHead(400, "start line");
        }
        h.one = w[0];
        h.two = w[1];
        h.three = w.length > 2 ? w[2] : "";
        for (var i = 1; i < lines.length; i++) {
            h.field(lines[i]);
        }
        return h;
    }

    private void field(String l) {
        var c = l.indexOf(':');
        if (c < 1 || !token(l.substring(0, c))) {
            throw new BadHead(400, "field name");
        }
        var v = l.substring(c + 1).strip();
        for (var i = 0; i < v.length(); i++) {
            var x = v.charAt(i);
            if (x < ' ' && x != '\t' || x == 127) {
                throw new BadHead(400, "field value");
            }
        }
        names.add(l.substring(0, c));
        values.add(v);
    }

    private static boolean token(String s) {
        for (var i = 0; i < s.length(); i++) {
            var c = s.charAt(i);
            if (!(c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0)) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    public int status() {
        return Integer.parseInt(two);
    }

    public int count(String n) {
        var k = 0;
        for (var x : names) {
            if (x.equalsIgnoreCase(n)) {
                k++;
            }
        }
        return k;
    }

    public String get(String n) {
        for (var i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(n)) {
                return values.get(i);
            }
        }
        return "";
    }

    public boolean has(String n) {
        return count(n) > 0;
    }

    public void drop(String n) {
        for (var i = names.size() - 1; i >= 0; i--) {
            if (names.get(i).equalsIgnoreCase(n)) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    public void set(String n, String v) {
        drop(n);
        names.add(n);
        values.add(v);
    }

    public Head copy() {
        var h = new Head();
        h.one = one;
        h.two = two;
        h.three = three;
        h.names.addAll(names);
        h.values.addAll(values);
        return h;
    }

    /** Drops the fields that concern one connection, and those that Connection names. */
    public void dropHop() {
        var named = new HashSet<String>();
        for (var i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase("connection")) {
                for (var t : values.get(i).split(",")) {
                    named.add(t.strip().toLowerCase(Locale.ROOT));
                }
            }
        }
        for (var i = names.size() - 1; i >= 0; i--) {
            var n = names.get(i).toLowerCase(Locale.ROOT);
            if (HOP.contains(n) || named.contains(n) && !n.startsWith("x-")) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    public boolean closes() {
        var c = get("Connection").toLowerCase(Locale.ROOT);
        return c.contains("close")
                || (one.equals("HTTP/1.0") || three.equals("HTTP/1.0"))
                        && !c.contains("keep-alive");
    }

    public boolean chunked() {
        return has("Transfer-Encoding");
    }

    /**
     * The length of the body, 0 where none is said, -1 when it comes in chunks; anything doubtful
     * is refused.
     */
    public int length(int status) {
        if (has("Transfer-Encoding")) {
            if (has("Content-Length")
                    || count("Transfer-Encoding") > 1
                    || !get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                throw new BadHead(status, "framing");
            }
            return -1;
        }
        if (!has("Content-Length")) {
            return 0;
        }
        var v = get("Content-Length");
        if (count("Content-Length") > 1 || v.isEmpty() || v.length() > 10) {
            throw new BadHead(status, "framing");
        }
        for (var i = 0; i < v.length(); i++) {
            if (v.charAt(i) < '0' || v.charAt(i) > '9') {
                throw new BadHead(status, "framing");
            }
        }
        var n = Long.parseLong(v);
        if (n > Integer.MAX_VALUE / 2) {
            throw new BadHead(status == 400 ? 413 : status, "length");
        }
        return (int) n;
    }

    public byte[] bytes() {
        var b = new StringBuilder(256).append(one).append(' ').append(two);
        if (!three.isEmpty() || one.startsWith("HTTP/")) {
            b.append(' ').append(three);
        }
        b.append("\r\n");
        for (var i = 0; i < names.size(); i++) {
            b.append(names.get(i)).append(": ").append(values.get(i)).append("\r\n");
        }
        return b.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
