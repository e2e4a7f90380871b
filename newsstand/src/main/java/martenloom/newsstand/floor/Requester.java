package martenloom.newsstand.floor;

import io.activej.eventloop.*;
import io.activej.net.socket.tcp.*;
import java.io.*;
import java.nio.charset.*;
import java.util.*;
import martenloom.galley.clock.*;
import martenloom.menu.route.*;
import martenloom.newsstand.head.*;

/**
 * One connection of a requester: reads one errand at a time, strictly and within the limits of the setup, gives it to
 * the floor, and writes its answer. Whatever is cut short stays visibly so: the last chunk is written only when the
 * replica's answer was whole.
 */
public final class Requester implements Wire.Owner, Errand.Sink {
    private enum State { HEAD, BODY, IN_HAND, ENDING }

    private static final byte[] LAST = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** What the requester side needs of the floor. */
    public interface Floor {
        RouteTable table();

        boolean leaving();

        void onErrand(Requester r, Head h, byte[] body);

        void onGone(Requester r);

        void onOpened(Requester r);
    }

    private final Wire wire;
    private final Floor floor;
    private final Eventloop loop;
    private State state = State.HEAD;
    private Head head = new Head();
    private int left;
    private Optional<Chunks> chunks = Optional.empty();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean closeAfter;
    public Optional<Errand> errand = Optional.empty();
    public long sinceUs = Clocks.nowUs();

    public Requester(Eventloop loop, ITcpSocket s, Floor f) {
        this.loop = loop;
        floor = f;
        wire = new Wire(s, 1 << 17, this);
        floor.onOpened(this);
        wire.start();
    }

    public boolean idle() {
        return state == State.HEAD && wire.size() == 0;
    }

    @Override
    public void onBytes() {
        try {
            while (wire.size() > 0 && (state == State.HEAD || state == State.BODY) && step()) {}
        } catch (Head.BadHead e) {
            refuse(e.status);
        }
    }

    private boolean step() {
        if (state == State.BODY) {
            return body();
        }
        while (wire.size() >= 2 && wire.buf[wire.from] == '\r' && wire.buf[wire.from + 1] == '\n') {
            wire.used(2);
        }
        var e = Head.end(wire.buf, wire.from + 3, wire.to);
        var most = floor.table().limits.headBytes;
        if (e < 0 ? wire.size() > most : e - wire.from > most) {
            throw new Head.BadHead(431, "head too large");
        }
        if (e < 0) {
            return false;
        }
        head = Head.request(wire.buf, wire.from, e);
        wire.used(e - wire.from);
        sinceUs = Clocks.nowUs();
        if (head.count("Host") != 1 || head.get("Host").isEmpty()) {
            throw new Head.BadHead(400, "host");
        }
        var n = head.length(400);
        if (n > floor.table().limits.bodyBytes) {
            throw new Head.BadHead(413, "body too large");
        }
        closeAfter = head.closes();
        chunks = n < 0 ? Optional.of(new Chunks(400)) : Optional.empty();
        left = Math.max(0, n);
        body = new ByteArrayOutputStream(left);
        state = State.BODY;
        if (head.get("Expect").equalsIgnoreCase("100-continue") && n != 0 && wire.size() == 0) {
            wire.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        if (chunks.isEmpty() && left == 0) {
            take();
        }
        return true;
    }

    private boolean body() {
        if (chunks.isPresent()) {
            var c = chunks.get();
            var n = c.take(wire.buf, wire.from, wire.to, (b, f, k) -> body.write(b, f, k));
            wire.used(n - wire.from);
            if (body.size() > floor.table().limits.bodyBytes) {
                throw new Head.BadHead(413, "body too large");
            }
            if (c.done()) {
                take();
            }
            return true;
        }
        var n = Math.min(left, wire.size());
        body.write(wire.buf, wire.from, n);
        wire.used(n);
        left -= n;
        if (left == 0) {
            take();
        }
        return true;
    }

    private void take() {
        state = State.IN_HAND;
        var b = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        floor.onErrand(this, head, b);
    }

    private void refuse(int status) {
        closeAfter = true;
        state = State.IN_HAND;
        whole(plain(status, ""), new byte[0]);
    }

    /** A head of our own with no body; a wait in seconds goes into Retry-After. */
    public static byte[] plain(int status, String wait) {
        var why = switch (status) {
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
        return ("HTTP/1.1 " + status + " " + why + "\r\n" + (wait.isEmpty() ? "" : "Retry-After: " + wait + "\r\n")).getBytes(StandardCharsets.ISO_8859_1);
    }

    private byte[] closing(byte[] head, String framing) {
        var close = closeAfter || floor.leaving();
        closeAfter = close;
        var tail = (framing + (close ? "Connection: close\r\n" : "") + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        var b = Arrays.copyOf(head, head.length + tail.length);
        System.arraycopy(tail, 0, b, head.length, tail.length);
        return b;
    }

    @Override
    public void whole(byte[] head, byte[] body) {
        var h = closing(head, "Content-Length: " + body.length + "\r\n");
        var all = Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        wire.write(all);
        next();
    }

    @Override
    public void open(byte[] head) {
        wire.write(closing(head, "Transfer-Encoding: chunked\r\n"));
    }

    @Override
    public void event(byte[] b) {
        if (b.length == 0) {
            return;
        }
        var h = (Integer.toHexString(b.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        var all = Arrays.copyOf(h, h.length + b.length + 2);
        System.arraycopy(b, 0, all, h.length, b.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        wire.write(all);
    }

    @Override
    public void end() {
        wire.write(LAST);
        next();
    }

    @Override
    public void cut() {
        state = State.ENDING;
        errand = Optional.empty();
        wire.closeWhenSent();
    }

    @Override
    public int waiting() {
        return wire.waiting();
    }

    private void next() {
        errand = Optional.empty();
        sinceUs = Clocks.nowUs();
        if (closeAfter) {
            state = State.ENDING;
            wire.closeWhenSent();
            return;
        }
        state = State.HEAD;
        if (wire.size() > 0) {
            loop.post(this::onBytes);
        }
    }

    /** Called now and then: ends what is idle or too slow. */
    public void check(long now) {
        var l = floor.table().limits;
        var age = now - sinceUs;
        if (state == State.HEAD && wire.size() == 0 && age > (floor.leaving() ? 1_000_000 : l.idleMs * 1000L + 1_000_000)) {
            wire.close();
        } else if (state == State.HEAD && wire.size() > 0 && age > l.headMs * 1000L + 500_000 || state == State.BODY && age > l.idleMs * 1000L) {
            refuse(408);
        } else if (state == State.ENDING && age > 5_000_000) {
            wire.close();
        }
    }

    @Override
    public void onClosed() {
        floor.onGone(this);
    }

    public void close() {
        wire.close();
    }
}
