package martenloom.newsstand.floor;

import io.activej.net.socket.tcp.*;
import io.activej.reactor.net.*;
import java.io.*;
import java.nio.charset.*;
import java.util.*;
import martenloom.galley.clock.*;
import martenloom.newsstand.head.*;
import martenloom.newsstand.rack.*;

/**
 * One leg of an errand at one replica: opens or takes a connection, sends the errand, and turns the answer into events
 * for the floor. What came to nothing is told by how far it got, for that decides whether another leg is allowed.
 */
public final class Leg {
    public enum State { OPENING, SENT, ANSWERING, OVER }

    /** How a leg failed: never sent; turned away unrun; perhaps run; cut in the middle of a stream. */
    public enum Failure { UNSENT, UNRUN, MAYBE_RUN, CUT }

    public interface Owner {
        void onStreamHead(Leg l, Head h);

        void onEvents(Leg l, byte[] b, String lastId);

        void onStreamEnd(Leg l, byte[] rest);

        void onWhole(Leg l, Head h, byte[] body);

        void onFailed(Leg l, Failure f, Optional<Head> h);
    }

    private static final SocketSettings SOCKET = SocketSettings.builder().withTcpNoDelay(true).build();
    /** What may run only once goes on a connection that was used just now, or on a new one: an old one may have been forgotten. */
    private static final long ONCE_IDLE_US = 2_000_000;
    private static final byte[] NONE = new byte[0];

    public final Errand errand;
    public final Rack.Slot slot;
    private final Owner owner;
    public final int unread;
    public int aheadTokens;
    public int ownTokens;
    public long sentUs;
    public long firstUs;
    public long startUs;
    public boolean counted = true;
    private State state = State.OPENING;
    private Optional<ReplicaWire> wire = Optional.empty();
    private Optional<Head> head = Optional.empty();
    private boolean stream;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private byte[] pend = NONE;
    private long after = -1;

    public Leg(Errand e, Rack.Slot s, int unread, Owner o) {
        errand = e;
        slot = s;
        owner = o;
        this.unread = unread;
    }

    public State state() {
        return state;
    }

    public boolean started() {
        return firstUs > 0;
    }

    public void start(io.activej.eventloop.Eventloop loop, long connectMs) {
        startUs = Clocks.nowUs();
        while (!slot.idle.isEmpty()) {
            var w = slot.idle.pollFirst();
            if (w.usable(startUs) && w.idleUs(startUs) < (errand.route.repeatable() ? slot.idleTrustUs() : Math.min(ONCE_IDLE_US, slot.idleTrustUs()))) {
                wire = Optional.of(w);
                send(w);
                return;
            }
            w.close();
        }
        slot.open++;
        TcpSocket.connect(loop, slot.address, connectMs, SOCKET).subscribe((s, x) -> {
            if (x != null) {
                slot.open--;
                fail(Failure.UNSENT);
            } else if (state != State.OPENING) {
                slot.open--;
                s.close();
            } else {
                var rtt = Clocks.nowUs() - startUs;
                slot.rttUs += (rtt - slot.rttUs) * 0.3;
                var w = new ReplicaWire(s, slot);
                wire = Optional.of(w);
                send(w);
            }
        });
    }

    private void send(ReplicaWire w) {
        var now = Clocks.nowUs();
        var left = (Math.min(errand.clientUs, errand.deadlineUs) - now) / 1000;
        if (left < 1) {
            slot.idle.addFirst(w);
            wire = Optional.empty();
            fail(Failure.UNSENT);
            return;
        }
        var h = errand.head.copy();
        h.dropHop();
        h.drop("Expect");
        h.set("X-Time-Remaining", String.valueOf(left));
        h.set("X-Target-Instance", slot.row.id);
        if (!errand.model.isEmpty()) {
            h.set("X-Request-Priority", String.valueOf(errand.deferred > 2 ? 8 : errand.deferred > 0 ? 9 : Math.min(7, errand.route.rank * 3)));
        }
        if (!errand.lastEvent.isEmpty()) {
            h.set("Last-Event-Id", errand.lastEvent);
            after = number(errand.lastEvent);
        }
        if (errand.body.length > 0 || errand.head.has("Content-Length") || errand.head.has("Transfer-Encoding")) {
            h.set("Content-Length", String.valueOf(errand.body.length));
        }
        h.three = "HTTP/1.1";
        state = State.SENT;
        sentUs = now;
        slot.sentAt(now);
        if (slot.quietSinceUs == 0) {
            slot.quietSinceUs = now;
        }
        w.send(this, h.bytes(), errand.body);
    }

    public void onHead(Head h) {
        state = State.ANSWERING;
        head = Optional.of(h);
        var run = !h.has("X-Not-Executed") && h.status() != 421;
        stream = run && h.status() == 200 && h.get("Content-Type").toLowerCase(Locale.ROOT).startsWith("text/event-stream") && h.has("X-Server-Seal");
        if (stream) {
            owner.onStreamHead(this, h);
        }
    }

    public void onBody(byte[] b, int from, int n) {
        if (state == State.OVER) {
            return;
        }
        if (!stream) {
            if (body.size() + n > 16 << 20) {
                broken();
                return;
            }
            body.write(b, from, n);
            return;
        }
        var all = Arrays.copyOf(pend, pend.length + n);
        System.arraycopy(b, from, all, pend.length, n);
        var end = events(all);
        pend = end == 0 ? all : Arrays.copyOfRange(all, end, all.length);
        if (end > 0) {
            var fresh = fresh(all, end);
            if (fresh.length > 0) {
                owner.onEvents(this, fresh, lastId(fresh, fresh.length));
            }
        }
    }

    /** On a stream that goes on: the events behind the last one passed on, should the replica send some again. */
    private byte[] fresh(byte[] b, int end) {
        if (after < 0) {
            return Arrays.copyOf(b, end);
        }
        var at = 0;
        while (at < end) {
            var s = new String(b, at, end - at, StandardCharsets.ISO_8859_1);
            var n = s.indexOf("\n\n");
            var one = n < 0 ? s : s.substring(0, n + 2);
            var id = number(lastId(one.getBytes(StandardCharsets.ISO_8859_1), one.length()));
            if (id > after || id < 0) {
                after = -1;
                break;
            }
            at += one.length();
        }
        return Arrays.copyOfRange(b, at, end);
    }

    private static long number(String s) {
        try {
            return s.isEmpty() ? -1 : Long.parseLong(s);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static int events(byte[] b) {
        for (var i = b.length - 1; i > 0; i--) {
            if (b[i] == '\n' && (b[i - 1] == '\n' || i > 2 && b[i - 1] == '\r' && b[i - 2] == '\n')) {
                return i + 1;
            }
        }
        return 0;
    }

    private static String lastId(byte[] b, int end) {
        var s = new String(b, 0, end, StandardCharsets.ISO_8859_1);
        var i = s.startsWith("id:") ? Math.max(0, s.lastIndexOf("\nid:") + 1) : s.lastIndexOf("\nid:") + 1;
        if (i == 0 && !s.startsWith("id:")) {
            return "";
        }
        var e = s.indexOf('\n', i);
        return s.substring(i + 3, e).strip();
    }

    public void onEnd() {
        if (state == State.OVER) {
            return;
        }
        state = State.OVER;
        wire = Optional.empty();
        if (stream) {
            owner.onStreamEnd(this, pend);
            return;
        }
        var h = head.get();
        if (h.has("X-Not-Executed") || h.status() == 421) {
            owner.onFailed(this, Failure.UNRUN, head);
        } else if (h.status() / 100 == 2 && !h.has("X-Server-Seal")) {
            owner.onFailed(this, Failure.MAYBE_RUN, Optional.empty());
        } else {
            owner.onWhole(this, h, body.toByteArray());
        }
    }

    public void onBroken() {
        wire = Optional.empty();
        fail(stream ? Failure.CUT : Failure.MAYBE_RUN);
    }

    private void broken() {
        var w = wire;
        fail(stream ? Failure.CUT : Failure.MAYBE_RUN);
        w.ifPresent(ReplicaWire::abandon);
    }

    private void fail(Failure f) {
        if (state == State.OVER) {
            return;
        }
        state = State.OVER;
        owner.onFailed(this, f, Optional.empty());
    }

    /** Ends the leg from our side, without telling the owner. */
    public void abandon() {
        if (state != State.OVER) {
            state = State.OVER;
            var w = wire;
            wire = Optional.empty();
            w.ifPresent(ReplicaWire::abandon);
        }
    }

    public void hold(boolean h) {
        wire.ifPresent(w -> w.hold(h));
    }
}
