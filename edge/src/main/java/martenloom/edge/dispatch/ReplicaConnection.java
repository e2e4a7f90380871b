package martenloom.edge.dispatch;

import io.activej.net.socket.tcp.ITcpSocket;
import java.util.Arrays;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.Chunks;
import martenloom.edge.http.Head;
import martenloom.edge.replica.PooledConnection;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ResponseListener;

/**
 * One connection to a replica. It serves one attempt at a time and reads that attempt's answer; an
 * answer with another id is one too many from before and is passed over. Anything unexpected -
 * bytes while idle, bytes behind an answer, what is no answer - ends the connection, which is then
 * never used again.
 */
public final class ReplicaConnection implements SocketConnection.Owner, PooledConnection {
    private enum State {
        IDLE,
        HEAD,
        BODY,
        CLOSED
    }

    private static final int MOST = 1 << 20;

    private final SocketConnection wire;
    private final ReplicaEndpoint slot;
    private State state = State.IDLE;
    private Optional<ResponseListener> attempt = Optional.empty();
    private boolean skipping;
    private int skips;
    private int left;
    private boolean lastAnswer;

    /**
     * The answer has neither a length nor chunks: it is whole when the replica closes the
     * connection in order.
     */
    private boolean endsWithConnection;

    private String lastAttempt = "";
    private Optional<Chunks> chunks = Optional.empty();
    private long idleUntilUs = Long.MAX_VALUE;
    private long idleSinceUs;
    private long wasIdleUs;
    private boolean heard;

    /** Whether it had served another request before the present one. */
    private boolean served;

    public ReplicaConnection(ITcpSocket s, ReplicaEndpoint slot) {
        this.slot = slot;
        wire = new SocketConnection(s, 1 << 18, this);
        wire.start();
    }

    @Override
    public boolean usable(long now) {
        return state == State.IDLE && wire.isOpen() && now < idleUntilUs && sentAll();
    }

    /**
     * Whether its last request had this id: a second answer to that one could not be told from one
     * to the next.
     */
    @Override
    public boolean lastCarried(String attempt) {
        return !attempt.isEmpty() && lastAttempt.equals(attempt);
    }

    /** How long it has been waiting for its next attempt; 0 for a new one. */
    @Override
    public long idleUs(long now) {
        return idleSinceUs == 0 ? 0 : now - idleSinceUs;
    }

    @Override
    public void send(ResponseListener l, byte[] head, byte[] body) {
        wasIdleUs = idleUs(Clocks.nowUs());
        served = idleSinceUs > 0;
        lastAttempt = l.requestId();
        heard = false;
        attempt = Optional.of(l);
        state = State.HEAD;
        skipping = false;
        skips = 0;
        lastAnswer = false;
        var all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        wire.write(all);
    }

    @Override
    public void hold(boolean h) {
        wire.hold(h);
    }

    public boolean sentAll() {
        return wire.waiting() == 0;
    }

    @Override
    public void onBytes() {
        heard = true;
        slot.onBytesReceived(Clocks.nowUs());
        try {
            while (wire.size() > 0 && state != State.CLOSED && step()) {}
        } catch (Head.BadHead e) {
            close();
        }
    }

    private boolean step() {
        return switch (state) {
            case IDLE -> {
                close();
                yield false;
            }
            case HEAD -> head();
            case BODY -> body();
            case CLOSED -> false;
        };
    }

    private boolean head() {
        var e = Head.end(wire.buf, wire.from, wire.to);
        if (e < 0) {
            if (wire.size() > 65536 || !plausible()) {
                close();
            }
            return false;
        }
        var h = Head.answer(wire.buf, wire.from, e);
        wire.used(e - wire.from);
        if (h.status() / 100 == 1) {
            return true;
        }
        var bodiless = h.status() == 204 || h.status() == 304 || attempt.get().isHeadRequest();
        var n = bodiless ? 0 : h.length(502);
        endsWithConnection = !bodiless && !h.has("Transfer-Encoding") && !h.has("Content-Length");
        lastAnswer = endsWithConnection || h.closes();
        idleUntilUs = Clocks.nowUs() + keepUs(h);
        skipping =
                h.has("X-Attempt-Id") && !h.get("X-Attempt-Id").equals(attempt.get().requestId());
        if (skipping && (++skips > 2 || endsWithConnection)) {
            throw new Head.BadHead(502, "answers of others");
        }
        if (served && !h.has("X-Attempt-Id") && !attempt.get().requestId().isEmpty()) {
            throw new Head.BadHead(502, "an answer that may be another request's");
        }
        chunks = n < 0 ? Optional.of(new Chunks(502)) : Optional.empty();
        left = Math.max(0, n);
        if (left > MOST * 16) {
            throw new Head.BadHead(502, "length");
        }
        state = State.BODY;
        if (!skipping) {
            attempt.get().onHead(h);
        }
        if (state == State.BODY && chunks.isEmpty() && left == 0 && !endsWithConnection) {
            finish();
        }
        return true;
    }

    private static long keepUs(Head h) {
        for (var t : h.get("Keep-Alive").split(",")) {
            var s = t.strip();
            if (s.startsWith("timeout=")) {
                try {
                    return Math.max(
                            0, Long.parseLong(s.substring(8).strip()) * 1_000_000 - 1_000_000);
                } catch (NumberFormatException e) {
                    return 2_000_000;
                }
            }
        }
        return 10_000_000;
    }

    private boolean plausible() {
        var w = "HTTP/1.";
        for (var i = 0; i < Math.min(w.length(), wire.size()); i++) {
            if (wire.buf[wire.from + i] != w.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private boolean body() {
        if (chunks.isPresent()) {
            var c = chunks.get();
            var n = c.take(wire.buf, wire.from, wire.to, this::give);
            if (state == State.CLOSED) {
                return false;
            }
            wire.used(n - wire.from);
            if (c.done()) {
                finish();
            }
            return true;
        }
        var n = endsWithConnection ? wire.size() : Math.min(left, wire.size());
        var f = wire.from;
        give(wire.buf, f, n);
        if (state == State.CLOSED) {
            return false;
        }
        wire.used(n);
        if (endsWithConnection) {
            return true;
        }
        left -= n;
        if (left == 0) {
            finish();
        }
        return true;
    }

    private void give(byte[] b, int from, int n) {
        if (!skipping && attempt.isPresent()) {
            attempt.get().onBody(b, from, n);
        }
    }

    private void finish() {
        if (skipping) {
            skipping = false;
            state = State.HEAD;
            if (lastAnswer) {
                close();
            }
            return;
        }
        var l = attempt.get();
        attempt = Optional.empty();
        state = State.IDLE;
        var again =
                !lastAnswer
                        && skips == 0
                        && wire.size() == 0
                        && wire.isOpen()
                        && slot.keepsIdleConnections();
        if (again) {
            wire.hold(false);
            idleSinceUs = Clocks.nowUs();
            slot.onIdle(this);
        } else {
            close();
        }
        l.onEnd();
    }

    @Override
    public void onClosed() {
        if (state == State.CLOSED) {
            return;
        }
        if (state == State.HEAD && attempt.isPresent() && !heard && wasIdleUs > 0) {
            slot.onReuseFailed(wasIdleUs);
        }
        var whole = state == State.BODY && endsWithConnection && wire.endedByPeer();
        state = State.CLOSED;
        slot.onClosed(this);
        var l = attempt;
        attempt = Optional.empty();
        l.ifPresent(whole ? ResponseListener::onConnectionEnd : ResponseListener::onBroken);
    }

    @Override
    public void close() {
        wire.close();
    }

    /**
     * Lets go of the attempt and ends the connection, so that the replica drops what it runs for
     * it.
     */
    @Override
    public void abandon() {
        attempt = Optional.empty();
        wire.reset();
    }
}
