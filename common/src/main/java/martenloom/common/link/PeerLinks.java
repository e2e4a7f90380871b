package martenloom.common.link;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import martenloom.common.callers.Callers;

/**
 * Accepts links from other daemons; {@link OutgoingPeerLink} opens links to them. Runs on the
 * reactor thread.
 */
public final class PeerLinks {
    static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    private PeerLinks() {}

    /**
     * Accepts links at this address and gives their records to the handler.
     *
     * @param callers the bounds on these links
     */
    public static void listen(
            Eventloop loop, InetSocketAddress address, PeerLinkHandler handler, Callers callers)
            throws IOException {
        SimpleServer.builder(loop, socket -> accept(socket, handler, callers))
                .withAcceptFilter(callers.acceptFilter())
                .withSocketSettings(SOCKET_SETTINGS)
                .withListenAddress(address)
                .build()
                .listen();
    }

    private static void accept(ITcpSocket socket, PeerLinkHandler handler, Callers callers) {
        var link = new PeerLink(socket, remoteAddress(socket), handler);
        link.boundBy(callers);
        link.start();
    }

    private static String remoteAddress(ITcpSocket socket) {
        return socket instanceof TcpSocket tcp && tcp.getRemoteAddress() != null
                ? tcp.getRemoteAddress().getAddress().getHostAddress()
                : "unknown";
    }
}
