package martenloom.launcher.harness;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Clients that each open a connection, send the same bytes as far as the daemon takes them, read
 * nothing, and stay open until the crowd is closed. Used by one thread.
 */
public final class ClientCrowd implements Closeable {
    /** When no byte was taken and no connection opened for so long, the daemon takes no more. */
    private static final long QUIET_MS = 1_000;

    private static final long MAX_PRESS_NS = 30_000_000_000L;

    private final InetSocketAddress address;
    private final byte[] payload;
    private final Selector selector;
    private int connected;

    /**
     * @param address host and port
     * @param payload what each client sends
     */
    public ClientCrowd(String address, byte[] payload) {
        var colon = address.lastIndexOf(':');
        this.address =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        this.payload = payload;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** So many more clients connect; returns when the daemon takes no more bytes of any. */
    public void press(int clients) {
        try {
            for (var i = 0; i < clients; i++) {
                connect();
            }
            var endNs = System.nanoTime() + MAX_PRESS_NS;
            while (System.nanoTime() < endNs && selector.select(this::onReady, QUIET_MS) > 0) {
                continue;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** How many clients were connected at all. */
    public int connected() {
        return connected;
    }

    private void connect() throws IOException {
        var channel = SocketChannel.open();
        channel.configureBlocking(false);
        var key = channel.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(payload));
        if (channel.connect(address)) {
            key.interestOps(SelectionKey.OP_WRITE);
        }
    }

    private void onReady(SelectionKey key) {
        try {
            if (key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) {
                connected++;
                key.interestOps(SelectionKey.OP_WRITE);
            }
            if (key.isWritable()) {
                write(key);
            }
        } catch (IOException e) {
            end(key);
        }
    }

    private static void write(SelectionKey key) throws IOException {
        var rest = (ByteBuffer) key.attachment();
        ((SocketChannel) key.channel()).write(rest);
        if (!rest.hasRemaining()) {
            key.interestOps(0);
        }
    }

    private static void end(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        selector.keys().forEach(ClientCrowd::end);
        try {
            selector.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
