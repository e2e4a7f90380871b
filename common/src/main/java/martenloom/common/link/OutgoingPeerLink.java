package martenloom.common.link;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;

/**
 * Keeps one outgoing link up until it is stopped: it connects, and connects again after a pause
 * whenever an attempt has failed or the link has closed. Runs on the reactor thread.
 */
public final class OutgoingPeerLink implements PeerLinkHandler {
    private static final long CONNECT_TIMEOUT_MS = 1500;

    private final Eventloop loop;
    private final InetSocketAddress address;
    private final long reconnectPauseUs;
    private final Consumer<PeerLink> onConnected;
    private final PeerLinkHandler handler;
    private Optional<PeerLink> link = Optional.empty();
    private boolean stopped;

    /**
     * Begins to connect at once.
     *
     * @param reconnectPauseUs how long to wait before each new attempt
     * @param onConnected called for each link before anything is read from it
     * @param handler receives the records and the ends of all links
     */
    public OutgoingPeerLink(
            Eventloop loop,
            InetSocketAddress address,
            long reconnectPauseUs,
            Consumer<PeerLink> onConnected,
            PeerLinkHandler handler) {
        this.loop = loop;
        this.address = address;
        this.reconnectPauseUs = reconnectPauseUs;
        this.onConnected = onConnected;
        this.handler = handler;
        connect();
    }

    /** The link while it is up. */
    public Optional<PeerLink> link() {
        return link;
    }

    /** Sends a record if the link is up; otherwise the record is lost. */
    public void send(byte[] record) {
        link.ifPresent(current -> current.send(record));
    }

    /** Closes the link and does not connect again. */
    public void stop() {
        stopped = true;
        link.ifPresent(PeerLink::close);
    }

    /** Closes a link on which nothing has arrived for longer than this, in microseconds. */
    public void closeIfSilent(long silenceUs) {
        link.filter(current -> Clocks.nowUs() - current.lastReceivedUs() > silenceUs)
                .ifPresent(
                        current -> {
                            RingLog.debug("link " + current.peer() + ": silent, given up");
                            current.close();
                        });
    }

    private void connect() {
        if (stopped) {
            return;
        }
        TcpSocket.connect(loop, address, CONNECT_TIMEOUT_MS, PeerLinks.SOCKET_SETTINGS)
                .subscribe(
                        (socket, error) -> {
                            if (error != null) {
                                connectLater();
                            } else if (stopped) {
                                socket.close();
                            } else {
                                connected(socket);
                            }
                        });
    }

    private void connectLater() {
        Clocks.after(loop, reconnectPauseUs, this::connect);
    }

    private void connected(ITcpSocket socket) {
        var opened = new PeerLink(socket, address.getAddress().getHostAddress(), this);
        link = Optional.of(opened);
        onConnected.accept(opened);
        opened.start();
    }

    @Override
    public void onRecord(PeerLink source, byte[] record) {
        handler.onRecord(source, record);
    }

    @Override
    public void onClosed(PeerLink closed) {
        link = Optional.empty();
        handler.onClosed(closed);
        connectLater();
    }
}
