package martenloom.core.api;

import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;

/**
 * Gives each HTTP connection of a listener its {@link Caller}. The server accepts a socket and
 * makes its connection in one step on the reactor thread, so the socket accepted last is the
 * connection's.
 */
final class CallerConnections extends HttpServer.JmxInspector {
    private TcpSocket acceptedLast;

    /** To be set as the listener's inspector of sockets. */
    TcpSocket.Inspector sockets() {
        return new TcpSocket.JmxInspector() {
            @Override
            public void onConnect(TcpSocket socket) {
                super.onConnect(socket);
                acceptedLast = socket;
            }
        };
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        super.onAccept(connection);
        connection.setUserData(new Caller(acceptedLast));
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
        super.onHttpResponseComplete(connection);
        ((Caller) connection.getUserData()).onResponseSent();
    }
}
