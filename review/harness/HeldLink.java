package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The way of one caller to one daemon. While it is cut, nothing passes in either direction; what was sent
 * meanwhile, the end of a connection too, arrives in its order when the cut is over, as TCP delivers it.
 */
final class HeldLink implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final String toIp;
    private final int toPort;
    private volatile boolean cut;

    HeldLink(String ownIp, String toIp, int toPort) throws IOException {
        this.toIp = toIp;
        this.toPort = toPort;
        server.bind(new InetSocketAddress(InetAddress.getByName(ownIp), 0));
        Replica.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void setCut(boolean cut) {
        this.cut = cut;
    }

    private void awaitHealed() {
        while (cut) {
            Kit.pause(5);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                var caller = server.accept();
                Replica.daemon(() -> connect(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket caller) {
        awaitHealed();
        try {
            var daemon = new Socket(toIp, toPort);
            Replica.daemon(() -> pass(daemon, caller));
            pass(caller, daemon);
        } catch (IOException e) {
            // The daemon does not listen.
        }
    }

    private void pass(Socket from, Socket to) {
        var buffer = new byte[8192];
        try {
            InputStream in = from.getInputStream();
            for (var count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitHealed();
                to.getOutputStream().write(buffer, 0, count);
            }
            awaitHealed();
            to.shutdownOutput();
        } catch (IOException e) {
            // One of the two has ended.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
