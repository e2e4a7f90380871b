package martenloom.common.socket;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;

/**
 * Keeps one read open on a socket for as long as its handler wants more, and gives the bytes on.
 * Reads that complete at once are taken in a loop, so that a fast sender does not deepen the stack.
 * Runs on the reactor thread.
 */
public final class SocketReader {
    private final ITcpSocket socket;
    private final SocketReadHandler handler;
    private boolean reading;

    public SocketReader(ITcpSocket socket, SocketReadHandler handler) {
        this.socket = socket;
        this.handler = handler;
    }

    /** Reads until the handler wants no more; does nothing while a read is open. */
    public void readWhileWanted() {
        while (!reading && handler.wantsMore()) {
            var read = socket.read();
            if (!read.isComplete()) {
                reading = true;
                read.subscribe(
                        (bytes, error) -> {
                            reading = false;
                            if (error == null) {
                                deliver(bytes);
                            } else {
                                handler.onError();
                            }
                            readWhileWanted();
                        });
                return;
            }
            if (read.isException()) {
                handler.onError();
                return;
            }
            deliver(read.getResult());
        }
    }

    /** Gives on what was read; ActiveJ hands over null at the end of the stream. */
    private void deliver(ByteBuf bytes) {
        if (bytes == null) {
            handler.onEnd();
            return;
        }
        if (handler.wantsMore()) {
            handler.onBytes(bytes);
        }
        bytes.recycle();
    }
}
