package martenloom.common.link;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Accepts links from other daemons; {@link OutgoingPeerLink} opens links to them. Runs on the
 * reactor thread.
 */
public final class PeerLinks {
    static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    private PeerLinks() {}

    /** Accepts links at this address and gives their records to the handler. */
    public static void listen(Eventloop loop, InetSocketAddress address, PeerLinkHandler handler)
            throws IOException {
        SimpleServer.builder(
                        loop,
                        socket -> new PeerLink(socket, remoteAddress(socket), handler).start())
                .withSocketSettings(SOCKET_SETTINGS)
                .withListenAddress(address)
                .build()
                .listen();
    }

    private static String remoteAddress(ITcpSocket socket) {
        return socket instanceof TcpSocket tcp && tcp.getRemoteAddress() != null
                ? tcp.getRemoteAddress().getAddress().getHostAddress()
                : "unknown";
    }
}
