package martenloom.common.callers;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.nio.ByteBuffer;
import martenloom.common.clock.Clocks;

/**
 * The caller at the other end of a connection of an HTTP server: counts what the connection holds,
 * and shows whether the caller still waits for the response to its call.
 *
 * <p>States of the connection: awaited, from its opening or the last response, until the request is
 * complete; served; awaited again while its response is on its way. Runs on the reactor thread.
 */
public final class HttpCaller implements Callers.Connection, BodyHolder {
    /** The objects of a connection. */
    private static final int CONNECTION_BYTES = 2 << 10;

    /** The buffer of one read. */
    private static final int READ_BYTES = 16 << 10;

    /** A head is held as it came, in buffers whose sizes are powers of two. */
    private static final int HEAD_FACTOR = 2;

    private static final long STALLED_US = 1_000_000;
    private static final int READ_AHEAD_BYTES = 8_192;
    private static final int MAX_READS = 64;

    private final TcpSocket socket;
    private final Callers.Caller caller;
    private final Callers callers;
    private long headBytes;
    private long bodyBytes;
    private long responseBytes;
    private boolean readingHead = true;
    private boolean readingBody;
    private long lastReadUs = Clocks.nowUs();
    private boolean furtherCallsDropped;

    HttpCaller(Callers callers, TcpSocket socket) {
        this.callers = callers;
        this.socket = socket;
        caller = callers.open(this);
        count();
    }

    private boolean count() {
        return caller.hold(heldBytes());
    }

    @Override
    public long heldBytes() {
        var headBuffers = headBytes == 0 ? 0 : READ_BYTES + headBytes * HEAD_FACTOR;
        return CONNECTION_BYTES + headBuffers + bodyBytes + responseBytes;
    }

    @Override
    public boolean isStalled(long nowUs) {
        return (readingHead && headBytes > 0 || readingBody) && nowUs - lastReadUs > STALLED_US;
    }

    @Override
    public void refuse() {
        close();
    }

    @Override
    public void close() {
        socket.close();
        onClosed();
    }

    void onClosed() {
        caller.close();
    }

    // ---- a call

    void onRead(ByteBuf bytes) {
        lastReadUs = Clocks.nowUs();
        if (readingHead) {
            headBytes += bytes.readRemaining();
            closeUnless(count());
        }
    }

    /** The head of a request is complete; what comes now belongs to its body. */
    void onHeadRead() {
        readingHead = false;
        caller.serve();
    }

    @Override
    public void awaitBody() {
        readingBody = true;
        caller.await();
    }

    @Override
    public void serve() {
        readingBody = false;
        caller.serve();
    }

    /**
     * Where there is no room, callers that have stalled give way, and then others that are awaited.
     */
    @Override
    public boolean holdBody(long bytes) {
        var memory = callers.memory();
        if (memory.heldBytes() + bytes - bodyBytes > memory.capacityBytes()) {
            callers.refuseStalled(Clocks.nowUs());
        }
        bodyBytes = bytes;
        return count();
    }

    void onResponse(HttpResponse response) {
        readingBody = false;
        responseBytes = response.hasBody() ? response.getBody().readRemaining() : 0;
        caller.await();
        closeUnless(count());
    }

    /** The response has gone out: the next call is awaited. */
    void onResponseSent() {
        headBytes = 0;
        responseBytes = 0;
        readingHead = true;
        caller.await();
        count();
        if (furtherCallsDropped) {
            socket.close();
        }
    }

    private void closeUnless(boolean withinBound) {
        if (!withinBound) {
            Reactor.getCurrentReactor().post(this::close);
        }
    }

    // ---- whether the caller waits

    /**
     * Whether the caller has kept its side of the connection open. To be asked only while a call
     * whose body was read is served: then the HTTP server does not read. Calls that were sent ahead
     * of the response are dropped, and the connection ends after it.
     */
    public boolean isWaiting() {
        var ahead = ByteBuffer.allocate(READ_AHEAD_BYTES);
        try {
            for (var reads = 0; reads < MAX_READS && !socket.isClosed(); reads++) {
                var count = socket.getSocketChannel().read(ahead.clear());
                if (count <= 0) {
                    return count == 0;
                }
                furtherCallsDropped = true;
            }
        } catch (IOException e) {
            return false; // the connection was reset
        }
        return !socket.isClosed();
    }
}
