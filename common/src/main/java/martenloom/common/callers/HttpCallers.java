package martenloom.common.callers;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;
import java.time.Duration;

/**
 * Puts the connections of an ActiveJ HTTP server under the bounds of {@link Callers}: counts what
 * the server reads of a request until its head is complete, and what waits to be read of its
 * response. The server accepts a socket and makes its connection in one step on the reactor thread,
 * so the socket accepted last is the connection's. Runs on the reactor thread.
 */
public final class HttpCallers extends HttpServer.JmxInspector {
    /** A part of a request, or of a response, that makes no progress for so long is given up. */
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(30);

    private final Callers callers;
    private HttpCaller acceptedLast;

    /** The connections of one server, under these bounds. */
    public HttpCallers(Callers callers) {
        this.callers = callers;
    }

    /** Puts a server that is being built under the bounds. */
    public HttpServer.Builder bound(HttpServer.Builder server) {
        return server.withAcceptFilter(callers.acceptFilter())
                .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                .withSocketInspector(new Sockets())
                .withInspector(this);
    }

    /** The caller at the other end of the connection of a request. */
    public static HttpCaller callerOf(HttpRequest request) {
        return (HttpCaller) request.getConnection().getUserData();
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        super.onAccept(connection);
        connection.setUserData(acceptedLast);
    }

    @Override
    public void onHttpRequest(HttpRequest request) {
        super.onHttpRequest(request);
        callerOf(request).onHeadRead();
    }

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {
        super.onHttpResponse(request, response);
        callerOf(request).onResponse(response);
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
        super.onHttpResponseComplete(connection);
        ((HttpCaller) connection.getUserData()).onResponseSent();
    }

    /** What happens on the sockets of the server. */
    private final class Sockets extends TcpSocket.JmxInspector {
        @Override
        public void onConnect(TcpSocket socket) {
            super.onConnect(socket);
            acceptedLast = new HttpCaller(callers, socket);
            socket.setUserData(acceptedLast);
        }

        @Override
        public void onRead(TcpSocket socket, ByteBuf bytes) {
            super.onRead(socket, bytes);
            ((HttpCaller) socket.getUserData()).onRead(bytes);
        }

        @Override
        public void onDisconnect(TcpSocket socket) {
            super.onDisconnect(socket);
            ((HttpCaller) socket.getUserData()).onClosed();
        }
    }
}
