package martenloom.common.socket;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;

/**
 * Keeps one read open on a socket for as long as its owner wants more, and gives the bytes on.
 * Reads that are already complete are taken in a loop, so that a fast sender does not deepen the
 * stack.
 */
public final class SocketReader {
    /** Receives what was read; called on the thread of the reactor. */
    public interface Owner {
        boolean wants();

        /** Takes bytes; the buffer is given back by the pump. */
        void take(ByteBuf b);

        /** The other side has closed its half of the connection in order. */
        void ended();

        /** The connection was reset or failed in another way. */
        default void broke() {
            ended();
        }
    }

    private final ITcpSocket sock;
    private final Owner owner;
    private boolean reading;

    public SocketReader(ITcpSocket s, Owner o) {
        sock = s;
        owner = o;
    }

    public void go() {
        while (!reading && owner.wants()) {
            var p = sock.read();
            if (!p.isComplete()) {
                reading = true;
                p.subscribe(
                        (b, e) -> {
                            reading = false;
                            if (e == null) {
                                got(b);
                            } else {
                                owner.broke();
                            }
                            go();
                        });
                return;
            }
            if (p.isException()) {
                owner.broke();
                return;
            }
            got(p.getResult());
        }
    }

    private void got(ByteBuf b) {
        if (b == null) {
            owner.ended();
            return;
        }
        if (owner.wants()) {
            owner.take(b);
        }
        b.recycle();
    }
}
