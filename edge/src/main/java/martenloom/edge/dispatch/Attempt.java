package martenloom.edge.dispatch;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.Head;
import martenloom.edge.replica.InFlightAttempt;
import martenloom.edge.replica.PooledConnection;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ResponseListener;

/**
 * One attempt of an request at one replica: opens or takes a connection, sends the request, and
 * turns the answer into events for the dispatcher. What came to nothing is told by how far it got,
 * for that decides whether another attempt is allowed.
 */
public final class Attempt implements InFlightAttempt, ResponseListener {
    /** How far an attempt has come; exactly one at any time. */
    public enum State {
        OPENING,
        SENT,
        ANSWERING,
        OVER
    }

    /**
     * How a attempt failed: never sent; turned away unrun; perhaps run; cut in the middle of a
     * stream.
     */
    public enum Failure {
        UNSENT,
        UNRUN,
        MAYBE_RUN,
        CUT
    }

    /** Is told what becomes of an attempt. */
    public interface Owner {
        void onStreamHead(Attempt l, Head h);

        void onEvents(Attempt l, byte[] b, String lastId);

        void onStreamEnd(Attempt l, byte[] rest);

        void onWhole(Attempt l, Head h, byte[] body);

        void onFailed(Attempt l, Failure f, Optional<Head> h);

        void onReplicaUnresponsive(Attempt l, long now);
    }

    private static final SocketSettings SOCKET =
            SocketSettings.builder().withTcpNoDelay(true).build();

    /**
     * What may run only once goes on a connection that was used just now, or on a new one: an old
     * one may have been forgotten.
     */
    private static final long ONCE_IDLE_US = 2_000_000;

    private static final byte[] NONE = new byte[0];

    public final Request request;
    public final ReplicaEndpoint slot;
    private final Owner owner;
    public final int unread;
    public int aheadTokens;
    public int ownTokens;
    public long sentUs;
    public long firstUs;
    public long startUs;
    public boolean counted = true;
    private State state = State.OPENING;
    private Optional<PooledConnection> wire = Optional.empty();
    private Optional<Head> head = Optional.empty();
    private boolean stream;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private byte[] pend = NONE;
    private long after = -1;

    public Attempt(Request e, ReplicaEndpoint s, int unread, Owner o) {
        request = e;
        slot = s;
        owner = o;
        this.unread = unread;
    }

    public State state() {
        return state;
    }

    @Override
    public String requestId() {
        return request.id;
    }

    @Override
    public boolean isHeadRequest() {
        return request.head.one.equals("HEAD");
    }

    @Override
    public boolean connecting() {
        return state == State.OPENING;
    }

    @Override
    public long sentUs() {
        return sentUs;
    }

    @Override
    public void onReplicaUnresponsive(long now) {
        owner.onReplicaUnresponsive(this, now);
    }

    @Override
    public boolean prefilled() {
        return started();
    }

    public boolean started() {
        return firstUs > 0;
    }

    public void start(io.activej.eventloop.Eventloop loop, long connectMs) {
        startUs = Clocks.nowUs();
        wire = takeIdle();
        if (wire.isPresent()) {
            send(wire.get());
            return;
        }
        slot.connections().onOpening();
        TcpSocket.connect(loop, slot.address(), connectMs, SOCKET)
                .subscribe(
                        (s, x) -> {
                            if (x != null) {
                                slot.connections().onClosed();
                                fail(Failure.UNSENT);
                            } else if (state != State.OPENING) {
                                slot.connections().onClosed();
                                s.close();
                            } else {
                                var rtt = Clocks.nowUs() - startUs;
                                slot.latency().onConnected(rtt);
                                var w = new ReplicaConnection(s, slot);
                                wire = Optional.of(w);
                                send(w);
                            }
                        });
    }

    /**
     * An open connection that this request may go out on; those that have become useless are closed
     * on the way.
     */
    private Optional<PooledConnection> takeIdle() {
        var trustUs =
                request.route.retriable()
                        ? slot.connections().idleTrustUs()
                        : Math.min(ONCE_IDLE_US, slot.connections().idleTrustUs());
        return slot.connections().takeIdle(request.id, trustUs, startUs);
    }

    private void send(PooledConnection w) {
        var now = Clocks.nowUs();
        var left = (Math.min(request.clientUs, request.deadlineUs) - now) / 1000;
        if (left < 1) {
            slot.connections().addIdle(w);
            wire = Optional.empty();
            fail(Failure.UNSENT);
            return;
        }
        var h = request.head.copy();
        h.dropHop();
        h.drop("Expect");
        h.set("X-Time-Remaining", String.valueOf(left));
        h.set("X-Target-Instance", slot.id());
        if (!request.model.isEmpty()) {
            h.set(
                    "X-Request-Priority",
                    String.valueOf(
                            request.deferred > 2
                                    ? 8
                                    : request.deferred > 0
                                            ? 9
                                            : Math.min(7, request.route.priority() * 3)));
        }
        if (!request.lastEvent.isEmpty()) {
            h.set("Last-Event-Id", request.lastEvent);
            after = number(request.lastEvent);
        }
        if (request.body.length > 0
                || request.head.has("Content-Length")
                || request.head.has("Transfer-Encoding")) {
            h.set("Content-Length", String.valueOf(request.body.length));
        }
        h.three = "HTTP/1.1";
        state = State.SENT;
        sentUs = now;
        slot.onSent(now);
        w.send(this, h.bytes(), request.body);
    }

    @Override
    public void onHead(Head h) {
        state = State.ANSWERING;
        head = Optional.of(h);
        var run = !h.has("X-Not-Executed") && h.status() != 421;
        stream =
                run
                        && h.status() == 200
                        && h.get("Content-Type")
                                .toLowerCase(Locale.ROOT)
                                .startsWith("text/event-stream")
                        && h.has("X-Server-Seal");
        if (stream) {
            owner.onStreamHead(this, h);
        }
    }

    @Override
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

    /**
     * On a stream that goes on: the events behind the last one passed on, should the replica send
     * some again.
     */
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
            if (b[i] == '\n'
                    && (b[i - 1] == '\n' || i > 2 && b[i - 1] == '\r' && b[i - 2] == '\n')) {
                return i + 1;
            }
        }
        return 0;
    }

    private static String lastId(byte[] b, int end) {
        var s = new String(b, 0, end, StandardCharsets.ISO_8859_1);
        var i =
                s.startsWith("id:")
                        ? Math.max(0, s.lastIndexOf("\nid:") + 1)
                        : s.lastIndexOf("\nid:") + 1;
        if (i == 0 && !s.startsWith("id:")) {
            return "";
        }
        var e = s.indexOf('\n', i);
        return s.substring(i + 3, e).strip();
    }

    @Override
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

    /**
     * An answer without a length has ended with its connection; a stream that ends inside an event
     * is cut all the same.
     */
    @Override
    public void onConnectionEnd() {
        if (stream && pend.length > 0) {
            onBroken();
        } else {
            onEnd();
        }
    }

    @Override
    public void onBroken() {
        wire = Optional.empty();
        fail(stream ? Failure.CUT : Failure.MAYBE_RUN);
    }

    private void broken() {
        var w = wire;
        fail(stream ? Failure.CUT : Failure.MAYBE_RUN);
        w.ifPresent(PooledConnection::abandon);
    }

    private void fail(Failure f) {
        if (state == State.OVER) {
            return;
        }
        state = State.OVER;
        owner.onFailed(this, f, Optional.empty());
    }

    /** Takes this attempt off the load of its replica; does nothing the second time. */
    void uncount() {
        if (counted) {
            counted = false;
            slot.removeAttempt(this);
            if (!started()) {
                slot.load().onPrefillEnd(unread);
            }
        }
    }

    /** Ends the attempt from our side, without telling the owner, and takes it off the load. */
    void giveUp() {
        uncount();
        abandon();
    }

    private void abandon() {
        if (state != State.OVER) {
            state = State.OVER;
            var w = wire;
            wire = Optional.empty();
            w.ifPresent(PooledConnection::abandon);
        }
    }

    public void hold(boolean h) {
        wire.ifPresent(w -> w.hold(h));
    }
}
