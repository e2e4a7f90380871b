package martenloom.edge.dispatch;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.net.StandardSocketOptions;
import martenloom.common.log.RingLog;
import martenloom.common.socket.SocketReadHandler;
import martenloom.common.socket.SocketReader;

/**
 * One TCP connection of ActiveJ's with a buffer for what has come and is not yet used. It reads on
 * by itself, tells its owner of bytes and of the end, and can be held while the other side does not
 * keep up.
 */
public final class SocketConnection implements SocketReadHandler {
    /** Is told of bytes and of the end of a connection. */
    public interface Owner {
        void onBytes();

        void onClosed();
    }

    private final ITcpSocket sock;
    private Owner owner;
    private final int most;
    private boolean open = true;
    private boolean held;
    private boolean endedByPeer;
    private final SocketReader pump;
    private int waiting;
    public byte[] buf = new byte[512];
    public int from;
    public int to;

    public SocketConnection(ITcpSocket s, int most, Owner o) {
        sock = s;
        owner = o;
        this.most = most;
        pump = new SocketReader(s, this);
    }

    public void start() {
        pump.readWhileWanted();
    }

    public boolean isOpen() {
        return open;
    }

    public int waiting() {
        return waiting;
    }

    public int size() {
        return to - from;
    }

    public void used(int n) {
        if (size() >= most && size() - n < most) {
            Reactor.getCurrentReactor().post(pump::readWhileWanted);
        }
        from += n;
        if (from == to) {
            from = 0;
            to = 0;
            if (buf.length > 65536) {
                buf = new byte[512];
            }
        }
    }

    public void hold(boolean h) {
        held = h;
        pump.readWhileWanted();
    }

    @Override
    public boolean wantsMore() {
        return open && !held && size() < most;
    }

    @Override
    public void onEnd() {
        endedByPeer = open;
        close();
    }

    @Override
    public void onError() {
        close();
    }

    /**
     * Whether the other side closed the connection in order, and neither this side nor a reset did.
     */
    public boolean endedByPeer() {
        return endedByPeer;
    }

    @Override
    public void onBytes(ByteBuf b) {
        var n = b.readRemaining();
        if (to + n > buf.length) {
            var need = size() + n;
            var nb = need > buf.length ? new byte[Math.max(buf.length * 2, need)] : buf;
            System.arraycopy(buf, from, nb, 0, size());
            to -= from;
            from = 0;
            buf = nb;
        }
        b.drainTo(buf, to, n);
        to += n;
        owner.onBytes();
    }

    public void write(byte[] b) {
        if (!open || b.length == 0) {
            return;
        }
        waiting += b.length;
        sock.write(ByteBuf.wrapForReading(b))
                .subscribe(
                        (v, e) -> {
                            waiting -= b.length;
                            if (e != null) {
                                close();
                            } else if (waiting == 0) {
                                drained.run();
                            }
                        });
    }

    public Runnable drained = () -> {};

    /** Closes once what was written has gone out. */
    public void closeWhenSent() {
        if (waiting == 0) {
            close();
        } else {
            drained = this::close;
        }
    }

    public void close() {
        if (open) {
            open = false;
            sock.close();
            owner.onClosed();
        }
    }

    /**
     * Closes at once, and drops what was written and has not arrived: the other side sees a reset.
     */
    public void reset() {
        if (open && sock instanceof TcpSocket s) {
            try {
                s.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException | UnsupportedOperationException e) {
                RingLog.debug("a connection is closed without a reset: " + e.getMessage());
            }
        }
        close();
    }
}
