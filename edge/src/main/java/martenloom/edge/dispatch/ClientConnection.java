package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.Optional;
import martenloom.common.callers.Callers;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MalformedMessageException;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.transport.SocketConnection;

/**
 * A connection of a client: reads one request at a time, strictly and within the limits of the
 * configuration, gives it to its handler, and writes the response. A truncated stream stays visibly
 * so: the last chunk is written only when the replica's response was complete.
 *
 * <p>States: {@code HEAD} → {@code BODY} → {@code IN_FLIGHT} when the request is complete → {@code
 * HEAD} when its response is written, or {@code CLOSING} if no further request may follow. Runs on
 * the reactor thread.
 */
public final class ClientConnection
        implements SocketConnection.Owner, ResponseSink, Callers.Connection {
    private enum State {
        HEAD,
        BODY,
        IN_FLIGHT,
        CLOSING
    }

    private static final int MAX_BUFFERED_BYTES = 1 << 17;

    /** Beyond this no more is read while a request is in flight. */
    private static final int MAX_READ_AHEAD_BYTES = 4 << 10;

    /** The objects of a connection, in this process and for its socket. */
    private static final int CONNECTION_BYTES = 2 << 10;

    /** A client of which nothing came for so long has stalled. */
    private static final long STALLED_US = 1_000_000;

    /** The shortest end of a head that may stand behind other bytes of it: CR LF CR. */
    private static final int HEAD_END_LOOK_BACK = 3;

    /** How long a slow client may go on reading what was written of a stream that is aborted. */
    private static final long ABORT_FLUSH_US = 200_000;

    /** How long a connection may be idle at an edge that shuts down before it is closed. */
    public static final long MAX_IDLE_IN_SHUTDOWN_US = 1_000_000;

    private static final long US_PER_MS = 1000;

    /** What the limits of the configuration are exceeded by before they are enforced. */
    private static final long IDLE_GRACE_US = 1_000_000;

    private static final long HEAD_GRACE_US = 500_000;
    private static final long MAX_CLOSING_US = 5_000_000;

    /**
     * So long a body waits for memory before its request is rejected; a client gives up one that is
     * not read after a second.
     */
    private static final long MAX_MEMORY_WAIT_US = 1_000_000;

    private static final String MEMORY_RETRY_AFTER_S = "1";
    private static final MessageHead NO_HEAD = MessageHead.newRequest("", "");

    private final SocketConnection socket;
    private final RequestHandler handler;
    private final Eventloop loop;
    private final Callers.Caller caller;
    private State state = State.HEAD;

    /** When the present state began, or the head was read. */
    private long sinceUs = Clocks.nowUs();

    /** The first byte of the request that is being read; 0 while none has come. */
    private long firstByteUs;

    /** When bytes last came. */
    private long lastBytesUs = Clocks.nowUs();

    // ---- the request being read or in flight

    private MessageHead head = NO_HEAD;
    private final RequestBody body;

    /** What the head takes of the heap. */
    private int headBytes;

    /** Whether the request was rejected and the rest of its body is passed over. */
    private boolean unreadBodyPassedOver;

    private long requestBeganUs;
    private boolean closeAfterResponse;

    /** Whether what was read ahead of the last response waits for its turn. */
    private boolean sentAhead;

    private Optional<Request> request = Optional.empty();

    /** What is on its way to the client, as it counts in the account of responses. */
    private int unsentInAccount;

    /** Reads requests from a socket from now on. */
    public ClientConnection(Eventloop loop, ITcpSocket tcpSocket, RequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
        socket = new SocketConnection(tcpSocket, MAX_BUFFERED_BYTES, this);
        body = new RequestBody(socket, loop, handler::requestMemory, this::onRoom);
        caller = handler.callers().open(this);
        count();
        handler.onOpened(this);
        socket.start();
    }

    /** Whether it waits for a request of which nothing has come. */
    boolean idle() {
        return state == State.HEAD && socket.available() == 0;
    }

    /** When the request in flight began to come in. */
    long requestBeganUs() {
        return requestBeganUs;
    }

    /** The request in flight, if the handler has attached one. */
    Optional<Request> request() {
        return request;
    }

    void attach(Request newRequest) {
        request = Optional.of(newRequest);
    }

    void detachRequest() {
        request = Optional.empty();
    }

    // ---- reading

    @Override
    public void onBytes() {
        lastBytesUs = Clocks.nowUs();
        readOn();
    }

    private void readOn() {
        if (!socket.isOpen()) {
            return;
        }
        if (firstByteUs == 0) {
            firstByteUs = Clocks.nowUs();
        }
        try {
            while (socket.available() > 0 && readNext()) {}
        } catch (MalformedMessageException e) {
            reject(e.status());
        }
        if (!count()) {
            refuse();
        }
    }

    /** Reads on in the present state; false when more bytes are needed or none are wanted now. */
    private boolean readNext() {
        return switch (state) {
            case HEAD -> readHead();
            case BODY -> readBody();
            case IN_FLIGHT -> false;
            case CLOSING -> passOver();
        };
    }

    private void readSentAhead() {
        sentAhead = false;
        readOn();
    }

    private boolean readHead() {
        if (sentAhead || socket.unsentBytes() > 0) {
            return false; // it is not its turn, or the client is to read the last response first
        }
        skipBlankLines();
        var start = socket.position();
        var end = MessageHead.endOf(socket.buffer(), start + HEAD_END_LOOK_BACK, socket.limit());
        var headBytes = end < 0 ? socket.available() : end - start;
        if (headBytes > handler.clientLimits().maxHeaderBytes()) {
            throw new MalformedMessageException(
                    HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large");
        }
        if (end < 0) {
            return false;
        }
        head = MessageHead.readRequest(socket.buffer(), start, end);
        socket.consume(end - start);
        sinceUs = Clocks.nowUs();
        requestBeganUs = firstByteUs;
        beginBody();
        return true;
    }

    /** Drops bytes behind the last request, and closes when the rest of its body has come. */
    private boolean passOver() {
        var wasLast = body.passOver();
        if (unreadBodyPassedOver && wasLast) {
            socket.closeWhenSent();
        }
        return false;
    }

    private void skipBlankLines() {
        while (socket.available() >= 2
                && socket.buffer()[socket.position()] == '\r'
                && socket.buffer()[socket.position() + 1] == '\n') {
            socket.consume(2);
        }
    }

    private void beginBody() {
        if (head.count(HeaderField.HOST) != 1 || head.get(HeaderField.HOST).isEmpty()) {
            throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "host");
        }
        var length = head.bodyLength(HttpStatus.BAD_REQUEST);
        if (length > handler.clientLimits().maxBodyBytes()) {
            throw new MalformedMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
        }
        closeAfterResponse = head.closesConnection();
        body.begin(length);
        state = State.BODY;
        headBytes = head.retainedBytes();
        if (!count()) {
            refuse();
            return;
        }
        if (head.get(HeaderField.EXPECT).equalsIgnoreCase("100-continue")
                && length != 0
                && socket.available() == 0) {
            socket.write(ResponseFraming.continueReading());
        }
        if (length == 0) {
            finishRequest();
        }
    }

    private boolean readBody() {
        var allTaken = body.read(handler.clientLimits().maxBodyBytes());
        if (!allTaken && body.isSmall()) {
            handler.callers().makeRoom(MessageMemory.SMALL_BYTES, caller);
        }
        if (body.isComplete()) {
            finishRequest();
        }
        return allTaken;
    }

    private void onRoom() {
        if (state == State.BODY) {
            readOn();
        }
    }

    private void finishRequest() {
        state = State.IN_FLIGHT;
        caller.serve();
        socket.limitReadAhead(MAX_READ_AHEAD_BYTES);
        var complete = body.finish();
        firstByteUs = socket.available() > 0 ? Clocks.nowUs() : 0;
        handler.onRequest(this, head, complete);
    }

    /** Answers a request that was not read to its end, and closes behind the answer. */
    private void reject(int status) {
        reject(ErrorResponse.head(status));
    }

    private void reject(byte[] responseHead) {
        closeAfterResponse = true;
        state = State.IN_FLIGHT;
        respond(responseHead, ErrorResponse.noBody());
    }

    // ---- writing

    @Override
    public void respond(byte[] responseHead, byte[] responseBody) {
        var framed = withFraming(responseHead, ResponseFraming.length(responseBody.length));
        socket.write(framed, responseBody);
        beginNext();
    }

    @Override
    public void beginStream(byte[] responseHead) {
        socket.write(withFraming(responseHead, ResponseFraming.CHUNKED));
    }

    private byte[] withFraming(byte[] responseHead, String framing) {
        closeAfterResponse |= handler.closesConnections();
        return ResponseFraming.head(responseHead, framing, closeAfterResponse);
    }

    @Override
    public void sendEvents(byte[] events) {
        if (events.length == 0) {
            return;
        }
        socket.write(ResponseFraming.chunk(events));
    }

    @Override
    public void endStream() {
        socket.write(ResponseFraming.lastChunk());
        beginNext();
    }

    @Override
    public void abortStream() {
        state = State.CLOSING;
        releaseRequest();
        detachRequest();
        socket.closeWhenSent();
        Clocks.after(loop, ABORT_FLUSH_US, socket::close);
    }

    @Override
    public int unsentBytes() {
        return socket.unsentBytes();
    }

    @Override
    public void onUnsent(int change) {
        if (socket.isOpen()) {
            unsentInAccount += change;
            handler.responseMemory().hold(change, Clocks.nowUs());
            if (socket.unsentBytes() == 0 && state == State.HEAD && socket.available() > 0) {
                loop.post(this::readOn);
            }
        }
    }

    private void beginNext() {
        releaseRequest();
        detachRequest();
        sinceUs = Clocks.nowUs();
        caller.await();
        count();
        if (closeAfterResponse) {
            state = State.CLOSING;
            socket.closeWhenSent();
            return;
        }
        state = State.HEAD;
        socket.limitReadAhead(MAX_BUFFERED_BYTES);
        if (socket.available() > 0) {
            sentAhead = true;
            handler.onSentAhead(this::readSentAhead);
        }
    }

    private void releaseRequest() {
        body.release();
        head = NO_HEAD;
        headBytes = 0;
    }

    // ---- bounds

    /** Counts what is held apart from the bytes of the body; whether that is within the bound. */
    private boolean count() {
        return caller.hold(
                (long) CONNECTION_BYTES + socket.bufferBytes() + headBytes + body.unusedBytes());
    }

    @Override
    public long heldBytes() {
        return (long) CONNECTION_BYTES + socket.bufferBytes() + headBytes + body.bufferBytes();
    }

    /** Whether the body of the request waits for memory. */
    boolean waitsForMemory() {
        return state == State.BODY && body.waitsForMemory();
    }

    @Override
    public boolean isStalled(long nowUs) {
        var owesBytes =
                state == State.HEAD && socket.available() > 0
                        || state == State.BODY && !body.waitsForMemory();
        return owesBytes && nowUs - lastBytesUs > STALLED_US;
    }

    @Override
    public void refuse() {
        switch (state) {
            case HEAD -> refuseHead();
            case BODY -> rejectForMemory();
            case CLOSING -> close();
            case IN_FLIGHT -> {}
        }
    }

    private void refuseHead() {
        if (socket.available() == 0 || socket.unsentBytes() > 0) {
            close();
        } else {
            reject(ErrorResponse.head(HttpStatus.SERVICE_UNAVAILABLE, MEMORY_RETRY_AFTER_S));
        }
    }

    // ---- time and the end

    /** Called now and then: closes what is idle and ends what is too slow. */
    void enforceTimeouts(long nowUs) {
        var ageUs = nowUs - sinceUs;
        switch (state) {
            case HEAD -> {
                if (socket.available() == 0 || socket.unsentBytes() > 0) {
                    closeIf(ageUs > maxIdleUs());
                } else {
                    var headAgeUs = nowUs - Math.max(sinceUs, firstByteUs);
                    rejectIf(headAgeUs > maxHeadUs());
                }
            }
            case BODY -> enforceBodyTimeouts(nowUs, ageUs);
            case CLOSING -> closeIf(ageUs > MAX_CLOSING_US);
            case IN_FLIGHT -> {}
        }
    }

    private void enforceBodyTimeouts(long nowUs, long ageUs) {
        if (body.waitsForMemoryLongerThan(MAX_MEMORY_WAIT_US, nowUs)) {
            rejectForMemory();
        } else {
            rejectIf(ageUs > handler.clientLimits().idleTimeoutMs() * US_PER_MS);
        }
    }

    /**
     * There was no memory for the body in time: what still comes of it is passed over until its end
     * or the end of {@link #MAX_CLOSING_US}, so that the response is not lost by a reset.
     */
    private void rejectForMemory() {
        releaseRequest();
        closeAfterResponse = true;
        unreadBodyPassedOver = true;
        var responseHead = ErrorResponse.head(HttpStatus.SERVICE_UNAVAILABLE, MEMORY_RETRY_AFTER_S);
        socket.write(withFraming(responseHead, ResponseFraming.length(0)));
        state = State.CLOSING;
        sinceUs = Clocks.nowUs();
        readOn();
    }

    private long maxIdleUs() {
        return handler.closesConnections()
                ? MAX_IDLE_IN_SHUTDOWN_US
                : handler.clientLimits().idleTimeoutMs() * US_PER_MS + IDLE_GRACE_US;
    }

    private long maxHeadUs() {
        return handler.clientLimits().headerTimeoutMs() * US_PER_MS + HEAD_GRACE_US;
    }

    private void closeIf(boolean expired) {
        if (expired) {
            close();
        }
    }

    private void rejectIf(boolean expired) {
        if (expired) {
            reject(HttpStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    public void onClosed() {
        releaseRequest();
        socket.releaseBuffer();
        caller.close();
        handler.responseMemory().hold(-unsentInAccount, Clocks.nowUs());
        unsentInAccount = 0;
        handler.onClosed(this);
    }

    @Override
    public void close() {
        socket.close();
    }
}
