package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ChunkedBodyReader;
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MalformedMessageException;
import martenloom.edge.http.MessageHead;
import martenloom.edge.transport.SocketConnection;
import martenloom.routing.route.ClientLimits;

/**
 * A connection of a client: reads one request at a time, strictly and within the limits of the
 * configuration, gives it to its handler, and writes the response. A truncated stream stays visibly
 * so: the last chunk is written only when the replica's response was complete.
 *
 * <p>States: {@code HEAD} → {@code BODY} → {@code IN_FLIGHT} when the request is complete → {@code
 * HEAD} when its response is written, or {@code CLOSING} if no further request may follow. Runs on
 * the reactor thread.
 */
public final class ClientConnection implements SocketConnection.Owner, ResponseSink {
    /** Takes the requests of client connections. */
    public interface RequestHandler {
        /** The limits on requests that are in force. */
        ClientLimits clientLimits();

        /** Whether this edge shuts down, so that each connection is closed behind its response. */
        boolean closesConnections();

        void onOpened(ClientConnection client);

        void onRequest(ClientConnection client, MessageHead head, byte[] body);

        /** The connection is closed; called once. */
        void onClosed(ClientConnection client);
    }

    private enum State {
        HEAD,
        BODY,
        IN_FLIGHT,
        CLOSING
    }

    private static final int MAX_BUFFERED_BYTES = 1 << 17;

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

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final SocketConnection socket;
    private final RequestHandler handler;
    private final Eventloop loop;
    private State state = State.HEAD;

    /** When the present state began, or the head was read. */
    private long sinceUs = Clocks.nowUs();

    /** The first byte of the request that is being read; 0 while none has come. */
    private long firstByteUs;

    // ---- the request being read or in flight

    private MessageHead head = MessageHead.newRequest("", "");
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    /** The present body in the chunked coding; else {@link #bytesLeft} counts it. */
    private Optional<ChunkedBodyReader> chunkedBody = Optional.empty();

    private int bytesLeft;
    private long requestBeganUs;
    private boolean closeAfterResponse;
    private Optional<Request> request = Optional.empty();

    /** Reads requests from a socket from now on. */
    public ClientConnection(Eventloop loop, ITcpSocket tcpSocket, RequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
        socket = new SocketConnection(tcpSocket, MAX_BUFFERED_BYTES, this);
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
        if (firstByteUs == 0) {
            firstByteUs = Clocks.nowUs();
        }
        try {
            while (socket.available() > 0 && readNext()) {}
        } catch (MalformedMessageException e) {
            reject(e.status());
        }
    }

    /** Reads on in the present state; false when more bytes are needed or none are wanted now. */
    private boolean readNext() {
        return switch (state) {
            case HEAD -> readHead();
            case BODY -> readBody();
            case IN_FLIGHT, CLOSING -> false;
        };
    }

    private boolean readHead() {
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
        chunkedBody =
                length == MessageHead.CHUNKED
                        ? Optional.of(new ChunkedBodyReader(HttpStatus.BAD_REQUEST))
                        : Optional.empty();
        bytesLeft = Math.max(0, length);
        body = new ByteArrayOutputStream(bytesLeft);
        state = State.BODY;
        if (head.get(HeaderField.EXPECT).equalsIgnoreCase("100-continue")
                && length != 0
                && socket.available() == 0) {
            socket.write(CONTINUE);
        }
        if (length == 0) {
            finishRequest();
        }
    }

    private boolean readBody() {
        if (chunkedBody.isPresent()) {
            readChunks(chunkedBody.get());
            return true;
        }
        var length = Math.min(bytesLeft, socket.available());
        body.write(socket.buffer(), socket.position(), length);
        socket.consume(length);
        bytesLeft -= length;
        if (bytesLeft == 0) {
            finishRequest();
        }
        return true;
    }

    private void readChunks(ChunkedBodyReader reader) {
        var start = socket.position();
        var end = reader.read(socket.buffer(), start, socket.limit(), body::write);
        socket.consume(end - start);
        if (body.size() > handler.clientLimits().maxBodyBytes()) {
            throw new MalformedMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
        }
        if (reader.done()) {
            finishRequest();
        }
    }

    private void finishRequest() {
        state = State.IN_FLIGHT;
        var complete = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        firstByteUs = socket.available() > 0 ? Clocks.nowUs() : 0;
        handler.onRequest(this, head, complete);
    }

    /** Answers a request that was not read to its end, and closes behind the answer. */
    private void reject(int status) {
        closeAfterResponse = true;
        state = State.IN_FLIGHT;
        respond(ErrorResponse.head(status), ErrorResponse.noBody());
    }

    // ---- writing

    @Override
    public void respond(byte[] responseHead, byte[] responseBody) {
        var framed = withFraming(responseHead, "Content-Length: " + responseBody.length + "\r\n");
        var message = Arrays.copyOf(framed, framed.length + responseBody.length);
        System.arraycopy(responseBody, 0, message, framed.length, responseBody.length);
        socket.write(message);
        beginNext();
    }

    @Override
    public void beginStream(byte[] responseHead) {
        socket.write(withFraming(responseHead, "Transfer-Encoding: chunked\r\n"));
    }

    private byte[] withFraming(byte[] responseHead, String framing) {
        closeAfterResponse |= handler.closesConnections();
        var rest =
                (framing + (closeAfterResponse ? "Connection: close\r\n" : "") + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        var framed = Arrays.copyOf(responseHead, responseHead.length + rest.length);
        System.arraycopy(rest, 0, framed, responseHead.length, rest.length);
        return framed;
    }

    @Override
    public void sendEvents(byte[] events) {
        if (events.length == 0) {
            return;
        }
        var size =
                (Integer.toHexString(events.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        var chunk = Arrays.copyOf(size, size.length + events.length + 2);
        System.arraycopy(events, 0, chunk, size.length, events.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        socket.write(chunk);
    }

    @Override
    public void endStream() {
        socket.write(LAST_CHUNK);
        beginNext();
    }

    @Override
    public void abortStream() {
        state = State.CLOSING;
        detachRequest();
        socket.closeWhenSent();
        Clocks.after(loop, ABORT_FLUSH_US, socket::close);
    }

    @Override
    public int unsentBytes() {
        return socket.unsentBytes();
    }

    private void beginNext() {
        detachRequest();
        sinceUs = Clocks.nowUs();
        if (closeAfterResponse) {
            state = State.CLOSING;
            socket.closeWhenSent();
            return;
        }
        state = State.HEAD;
        if (socket.available() > 0) {
            loop.post(this::onBytes);
        }
    }

    // ---- time and the end

    /** Called now and then: closes what is idle and ends what is too slow. */
    void enforceTimeouts(long nowUs) {
        var ageUs = nowUs - sinceUs;
        switch (state) {
            case HEAD -> {
                if (socket.available() == 0) {
                    closeIf(ageUs > maxIdleUs());
                } else {
                    rejectIf(
                            ageUs
                                    > handler.clientLimits().headerTimeoutMs() * US_PER_MS
                                            + HEAD_GRACE_US);
                }
            }
            case BODY -> rejectIf(ageUs > handler.clientLimits().idleTimeoutMs() * US_PER_MS);
            case CLOSING -> closeIf(ageUs > MAX_CLOSING_US);
            case IN_FLIGHT -> {}
        }
    }

    private long maxIdleUs() {
        return handler.closesConnections()
                ? MAX_IDLE_IN_SHUTDOWN_US
                : handler.clientLimits().idleTimeoutMs() * US_PER_MS + IDLE_GRACE_US;
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
        handler.onClosed(this);
    }

    void close() {
        socket.close();
    }
}
