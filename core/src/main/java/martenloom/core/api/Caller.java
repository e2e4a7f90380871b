package martenloom.core.api;

import io.activej.http.HttpRequest;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The caller at the other end of a connection of the control API. Shows whether the caller still
 * waits for the response to its call, by reading ahead on the connection: while a call is served
 * the HTTP server does not read. Runs on the reactor thread.
 */
final class Caller {
    private static final int READ_AHEAD_BYTES = 8_192;
    private static final int MAX_READS = 64;

    private final TcpSocket socket;
    private boolean furtherCallsDropped;

    Caller(TcpSocket socket) {
        this.socket = socket;
    }

    /** The caller of a request that has come in over a listener with {@link CallerConnections}. */
    static Caller of(HttpRequest request) {
        return (Caller) request.getConnection().getUserData();
    }

    /**
     * Whether the caller has kept its side of the connection open. To be asked only while a call
     * whose body was read is served. Calls that were sent ahead of the response are dropped, and
     * the connection ends after it.
     */
    boolean isWaiting() {
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

    /** To be called after each response: a connection on which calls were dropped ends. */
    void onResponseSent() {
        if (furtherCallsDropped) {
            socket.close();
        }
    }
}
