package martenloom.newsstand.floor;

import io.activej.bytebuf.*;
import io.activej.net.socket.tcp.*;
import java.util.*;

/**
 * One TCP connection of ActiveJ's with a buffer for what has come and is not yet used. It reads on by itself, tells its
 * owner of bytes and of the end, and can be held while the other side does not keep up.
 */
public final class Wire {
    public interface Owner {
        void onBytes();

        void onClosed();
    }

    private final ITcpSocket sock;
    private Owner owner;
    private final int most;
    private boolean open = true;
    private boolean held;
    private boolean reading;
    private int waiting;
    public byte[] buf = new byte[512];
    public int from;
    public int to;

    public Wire(ITcpSocket s, int most, Owner o) {
        sock = s;
        owner = o;
        this.most = most;
    }

    public void start() {
        pump();
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
        if (!h && !reading) {
            pump();
        }
    }

    private void pump() {
        while (open && !held && size() < most) {
            var p = sock.read();
            if (!p.isComplete()) {
                reading = true;
                p.subscribe((b, e) -> {
                    reading = false;
                    if (take(b, e)) {
                        pump();
                    }
                });
                return;
            }
            if (!take(p.isResult() ? p.getResult() : null, p.isException() ? p.getException() : null)) {
                return;
            }
        }
    }

    private boolean take(ByteBuf b, Exception e) {
        if (e != null || b == null) {
            close();
            return false;
        }
        if (!open) {
            b.recycle();
            return false;
        }
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
        b.recycle();
        to += n;
        owner.onBytes();
        return open;
    }

    public void write(byte[] b) {
        if (!open || b.length == 0) {
            return;
        }
        waiting += b.length;
        sock.write(ByteBuf.wrapForReading(b)).subscribe((v, e) -> {
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

    public byte[] cut(int n) {
        var b = Arrays.copyOfRange(buf, from, from + n);
        used(n);
        return b;
    }
}
