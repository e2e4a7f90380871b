package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.Chunks;
import martenloom.edge.http.Head;
import martenloom.routing.route.RouteTable;

/**
 * One connection of a client: reads one request at a time, strictly and within the limits of the
 * configuration, gives it to the dispatcher, and writes its answer. Whatever is cut short stays
 * visibly so: the last chunk is written only when the replica's answer was whole.
 */
public final class ClientConnection implements SocketConnection.Owner, Request.Sink {
    private enum State {
        HEAD,
        BODY,
        IN_HAND,
        ENDING
    }

    /**
     * How long a client that reads slowly may take up what it is still owed of a stream that is
     * cut.
     */
    private static final long CUT_FLUSH_US = 200_000;

    /** How long a connection may rest at an edge that leaves before it is closed. */
    public static final long IDLE_WHILE_LEAVING_US = 1_000_000;

    private static final byte[] LAST = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** What the client side needs of the dispatcher. */
    public interface RequestDispatcher {
        RouteTable table();

        boolean leaving();

        void onRequest(ClientConnection r, Head h, byte[] body);

        void onGone(ClientConnection r);

        void onOpened(ClientConnection r);
    }

    private final SocketConnection wire;
    private final RequestDispatcher dispatcher;
    private final Eventloop loop;
    private State state = State.HEAD;
    private Head head = new Head();
    private int left;
    private Optional<Chunks> chunks = Optional.empty();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean closeAfter;
    public Optional<Request> request = Optional.empty();
    public long sinceUs = Clocks.nowUs();

    /**
     * When the first byte of the next request came, or could be told from those before it; 0 while
     * none is here.
     */
    private long firstByteUs;

    private long beganUs;

    public ClientConnection(Eventloop loop, ITcpSocket s, RequestDispatcher f) {
        this.loop = loop;
        dispatcher = f;
        wire = new SocketConnection(s, 1 << 17, this);
        dispatcher.onOpened(this);
        wire.start();
    }

    public boolean idle() {
        return state == State.HEAD && wire.size() == 0;
    }

    @Override
    public void onBytes() {
        if (firstByteUs == 0) {
            firstByteUs = Clocks.nowUs();
        }
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
        var most = dispatcher.table().limits().maxHeaderBytes();
        if (e < 0 ? wire.size() > most : e - wire.from > most) {
            throw new Head.BadHead(431, "head too large");
        }
        if (e < 0) {
            return false;
        }
        head = Head.request(wire.buf, wire.from, e);
        wire.used(e - wire.from);
        sinceUs = Clocks.nowUs();
        beganUs = firstByteUs;
        if (head.count("Host") != 1 || head.get("Host").isEmpty()) {
            throw new Head.BadHead(400, "host");
        }
        var n = head.length(400);
        if (n > dispatcher.table().limits().maxBodyBytes()) {
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
            if (body.size() > dispatcher.table().limits().maxBodyBytes()) {
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
        firstByteUs = wire.size() > 0 ? Clocks.nowUs() : 0;
        dispatcher.onRequest(this, head, b);
    }

    /** When the request in hand began to come in. */
    public long beganUs() {
        return beganUs;
    }

    /** Bytes of answers that have not gone out. */
    public boolean unsent() {
        return wire.waiting() > 0;
    }

    private void refuse(int status) {
        closeAfter = true;
        state = State.IN_HAND;
        whole(plain(status, ""), new byte[0]);
    }

    /** A head of our own with no body; a wait in seconds goes into Retry-After. */
    public static byte[] plain(int status, String wait) {
        var why =
                switch (status) {
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
        return ("HTTP/1.1 "
                        + status
                        + " "
                        + why
                        + "\r\n"
                        + (wait.isEmpty() ? "" : "Retry-After: " + wait + "\r\n"))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private byte[] closing(byte[] head, String framing) {
        var close = closeAfter || dispatcher.leaving();
        closeAfter = close;
        var tail =
                (framing + (close ? "Connection: close\r\n" : "") + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
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
        request = Optional.empty();
        wire.closeWhenSent();
        Clocks.after(loop, CUT_FLUSH_US, wire::close);
    }

    @Override
    public int waiting() {
        return wire.waiting();
    }

    private void next() {
        request = Optional.empty();
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
        var l = dispatcher.table().limits();
        var age = now - sinceUs;
        if (state == State.HEAD
                && wire.size() == 0
                && age
                        > (dispatcher.leaving()
                                ? IDLE_WHILE_LEAVING_US
                                : l.idleTimeoutMs() * 1000L + 1_000_000)) {
            wire.close();
        } else if (state == State.HEAD
                        && wire.size() > 0
                        && age > l.headerTimeoutMs() * 1000L + 500_000
                || state == State.BODY && age > l.idleTimeoutMs() * 1000L) {
            refuse(408);
        } else if (state == State.ENDING && age > 5_000_000) {
            wire.close();
        }
    }

    @Override
    public void onClosed() {
        dispatcher.onGone(this);
    }

    public void close() {
        wire.close();
    }
}
