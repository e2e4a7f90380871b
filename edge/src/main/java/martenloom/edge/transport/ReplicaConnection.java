package martenloom.edge.transport;

import io.activej.net.socket.tcp.ITcpSocket;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ChunkedBodyReader;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MalformedMessageException;
import martenloom.edge.http.MessageHead;

/**
 * A connection to a replica. It carries one request at a time and reads the response for its
 * listener; it decides nothing about what follows.
 *
 * <p>States: {@code IDLE} → {@code HEAD} when a request is sent → {@code BODY} with the head of its
 * response → {@code IDLE} when the response is complete; {@code CLOSED} from any state and for
 * good. A response that carries another request's id is one too many from before: it is read and
 * passed over, and the connection is back in {@code HEAD}. Anything unexpected (bytes while idle,
 * bytes behind a response, what is no response) closes the connection. Runs on the reactor thread.
 */
public final class ReplicaConnection implements SocketConnection.Owner {
    /** What stands for the replica: keeps its idle connections and learns from their events. */
    public interface Owner {
        /** The replica has sent something. */
        void onBytesReceived(long nowUs);

        /** Whether further requests may go to the replica, so that idle connections are of use. */
        boolean keepsIdleConnections();

        /** The connection has become idle and may carry another request. */
        void onIdle(ReplicaConnection connection);

        /** The connection was reset when it was used again after having been idle for so long. */
        void onReuseFailed(long idleUs);

        /** The connection is closed; called once. */
        void onClosed(ReplicaConnection connection);
    }

    private enum State {
        IDLE,
        HEAD,
        BODY,
        CLOSED
    }

    private static final int MAX_BUFFERED_BYTES = 1 << 18;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_BODY_BYTES = 1 << 24;
    private static final int MAX_SKIPPED_RESPONSES = 2;
    private static final String RESPONSE_START = "HTTP/1.";
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";
    private static final long US_PER_SECOND = 1_000_000;

    /** A connection is not used in the last moment before the replica's own idle time-out. */
    private static final long KEEP_ALIVE_MARGIN_US = 1_000_000;

    private static final long DEFAULT_KEEP_ALIVE_US = 10_000_000;
    private static final long MALFORMED_KEEP_ALIVE_US = 2_000_000;

    private final SocketConnection socket;
    private final Owner owner;
    private State state = State.IDLE;

    // ---- the request in flight

    private Optional<ResponseListener> listener = Optional.empty();

    /** The id of the present or last request. */
    private String requestId = "";

    private boolean headRequest;

    /** Whether this connection had carried another request before the present one. */
    private boolean reused;

    private long idleBeforeUs;
    private boolean bytesReceived;

    // ---- its response

    /** Whether the response at hand belongs to an earlier request and is passed over. */
    private boolean skipping;

    private int skippedResponses;

    /** The present body in the chunked coding; else {@link #bytesLeft} counts it. */
    private Optional<ChunkedBodyReader> chunkedBody = Optional.empty();

    private int bytesLeft;

    /**
     * The response has neither a length nor chunks: it is complete when the replica closes the
     * connection in order.
     */
    private boolean endsWithConnection;

    private boolean lastResponse;

    // ---- idle times

    private long reusableUntilUs = Long.MAX_VALUE;

    /** When it last became idle; 0 for a new connection. */
    private long idleSinceUs;

    /** A connection over an open socket, which may carry a request at once. */
    public ReplicaConnection(ITcpSocket tcpSocket, Owner owner) {
        this.owner = owner;
        socket = new SocketConnection(tcpSocket, MAX_BUFFERED_BYTES, this);
        socket.start();
    }

    /** Whether a request can be sent now. */
    public boolean usable(long nowUs) {
        return state == State.IDLE
                && socket.isOpen()
                && nowUs < reusableUntilUs
                && socket.unsentBytes() == 0;
    }

    /**
     * Whether its last request had this id: a second response to that one could not be
     * distinguished from one to the next.
     */
    public boolean lastCarried(String id) {
        return !id.isEmpty() && requestId.equals(id);
    }

    /** How long it has been idle; 0 for a new one. */
    public long idleUs(long nowUs) {
        return idleSinceUs == 0 ? 0 : nowUs - idleSinceUs;
    }

    /**
     * Sends a request.
     *
     * @param id the request's id, which the response repeats; may be empty
     * @param method the request's method
     */
    public void send(
            String id, String method, byte[] head, byte[] body, ResponseListener newListener) {
        idleBeforeUs = idleUs(Clocks.nowUs());
        reused = idleSinceUs > 0;
        requestId = id;
        headRequest = method.equals("HEAD");
        bytesReceived = false;
        listener = Optional.of(newListener);
        state = State.HEAD;
        skipping = false;
        skippedResponses = 0;
        lastResponse = false;
        socket.write(head, body);
    }

    /** Stops or resumes reading, while the client does not keep up. */
    public void pauseReading(boolean paused) {
        socket.pauseReading(paused);
    }

    // ---- reading the response

    @Override
    public void onBytes() {
        bytesReceived = true;
        owner.onBytesReceived(Clocks.nowUs());
        try {
            while (socket.available() > 0 && state != State.CLOSED && readNext()) {}
        } catch (MalformedMessageException e) {
            close();
        }
    }

    /** Reads on in the present state; false when more bytes are needed. */
    private boolean readNext() {
        return switch (state) {
            case IDLE -> {
                close();
                yield false;
            }
            case HEAD -> readHead();
            case BODY -> chunkedBody.isPresent() ? readChunks(chunkedBody.get()) : readPlainBody();
            case CLOSED -> false;
        };
    }

    private boolean readHead() {
        var start = socket.position();
        var end = MessageHead.endOf(socket.buffer(), start, socket.limit());
        if (end < 0) {
            if (socket.available() > MAX_HEAD_BYTES || !startsLikeResponse()) {
                close();
            }
            return false;
        }
        var head = MessageHead.readResponse(socket.buffer(), start, end);
        socket.consume(end - start);
        if (!HttpStatus.isInformational(head.status())) {
            beginResponse(head);
        }
        return true;
    }

    private boolean startsLikeResponse() {
        var length = Math.min(RESPONSE_START.length(), socket.available());
        for (var i = 0; i < length; i++) {
            if (socket.buffer()[socket.position() + i] != RESPONSE_START.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private void beginResponse(MessageHead head) {
        beginBody(head);
        lastResponse = endsWithConnection || head.closesConnection();
        reusableUntilUs = Clocks.nowUs() + keepAliveUs(head);
        matchToRequest(head);
        state = State.BODY;
        if (!skipping) {
            listener.get().onHead(head);
        }
        if (state == State.BODY && chunkedBody.isEmpty() && bytesLeft == 0 && !endsWithConnection) {
            finishResponse();
        }
    }

    private void beginBody(MessageHead head) {
        var bodiless = isBodiless(head.status());
        var length = bodiless ? 0 : head.bodyLength(HttpStatus.BAD_GATEWAY);
        if (length > MAX_BODY_BYTES) {
            throw new MalformedMessageException(HttpStatus.BAD_GATEWAY, "length");
        }
        endsWithConnection =
                !bodiless
                        && !head.has(HeaderField.TRANSFER_ENCODING)
                        && !head.has(HeaderField.CONTENT_LENGTH);
        chunkedBody =
                length == MessageHead.CHUNKED
                        ? Optional.of(new ChunkedBodyReader(HttpStatus.BAD_GATEWAY))
                        : Optional.empty();
        bytesLeft = Math.max(0, length);
    }

    private boolean isBodiless(int status) {
        return status == HttpStatus.NO_CONTENT || status == HttpStatus.NOT_MODIFIED || headRequest;
    }

    /**
     * Finds out whether a response belongs to the request in flight or is to be passed over.
     *
     * @throws MalformedMessageException if that cannot be known, or the connection is out of step
     */
    private void matchToRequest(MessageHead head) {
        var hasId = head.has(HeaderField.ATTEMPT_ID);
        skipping = hasId && !head.get(HeaderField.ATTEMPT_ID).equals(requestId);
        if (skipping && (++skippedResponses > MAX_SKIPPED_RESPONSES || endsWithConnection)) {
            throw new MalformedMessageException(
                    HttpStatus.BAD_GATEWAY, "responses to other requests");
        }
        if (reused && !hasId && !requestId.isEmpty()) {
            throw new MalformedMessageException(
                    HttpStatus.BAD_GATEWAY, "a response that may be to another request");
        }
    }

    private static long keepAliveUs(MessageHead head) {
        for (var parameter : head.get(HeaderField.KEEP_ALIVE).split(",")) {
            var text = parameter.strip();
            if (text.startsWith(KEEP_ALIVE_TIMEOUT)) {
                return parseKeepAliveUs(text.substring(KEEP_ALIVE_TIMEOUT.length()).strip());
            }
        }
        return DEFAULT_KEEP_ALIVE_US;
    }

    private static long parseKeepAliveUs(String seconds) {
        try {
            return Math.max(0, Long.parseLong(seconds) * US_PER_SECOND - KEEP_ALIVE_MARGIN_US);
        } catch (NumberFormatException e) {
            return MALFORMED_KEEP_ALIVE_US;
        }
    }

    private boolean readChunks(ChunkedBodyReader reader) {
        var start = socket.position();
        var end = reader.read(socket.buffer(), start, socket.limit(), this::passOn);
        if (state == State.CLOSED) {
            return false;
        }
        socket.consume(end - start);
        if (reader.done()) {
            finishResponse();
        }
        return true;
    }

    private boolean readPlainBody() {
        var length =
                endsWithConnection ? socket.available() : Math.min(bytesLeft, socket.available());
        passOn(socket.buffer(), socket.position(), length);
        if (state == State.CLOSED) {
            return false;
        }
        socket.consume(length);
        if (!endsWithConnection) {
            bytesLeft -= length;
            if (bytesLeft == 0) {
                finishResponse();
            }
        }
        return true;
    }

    private void passOn(byte[] buffer, int offset, int length) {
        if (!skipping && listener.isPresent()) {
            listener.get().onBody(buffer, offset, length);
        }
    }

    private void finishResponse() {
        if (skipping) {
            skipping = false;
            state = State.HEAD;
            if (lastResponse) {
                close();
            }
            return;
        }
        var finished = listener.get();
        listener = Optional.empty();
        state = State.IDLE;
        if (reusable()) {
            socket.pauseReading(false);
            idleSinceUs = Clocks.nowUs();
            owner.onIdle(this);
        } else {
            close();
        }
        finished.onEnd();
    }

    private boolean reusable() {
        return !lastResponse
                && skippedResponses == 0
                && socket.available() == 0
                && socket.isOpen()
                && owner.keepsIdleConnections();
    }

    // ---- the end of the connection

    @Override
    public void onClosed() {
        if (state == State.CLOSED) {
            return;
        }
        if (state == State.HEAD && listener.isPresent() && !bytesReceived && idleBeforeUs > 0) {
            owner.onReuseFailed(idleBeforeUs);
        }
        var complete = state == State.BODY && endsWithConnection && socket.endedByPeer();
        state = State.CLOSED;
        owner.onClosed(this);
        var ended = listener;
        listener = Optional.empty();
        ended.ifPresent(complete ? ResponseListener::onConnectionEnd : ResponseListener::onBroken);
    }

    /** Closes the connection; the listener of a request in flight is notified. */
    public void close() {
        socket.close();
    }

    /**
     * Lets go of the request in flight and resets the connection, so that the replica drops what it
     * runs for it.
     */
    public void abandon() {
        listener = Optional.empty();
        socket.reset();
    }
}
