package martenloom.edge.transport;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.Arrays;
import martenloom.common.log.RingLog;
import martenloom.common.socket.SocketReadHandler;
import martenloom.common.socket.SocketReader;

/**
 * A TCP connection with a buffer of the bytes that came and are not yet consumed. It reads on by
 * itself until the buffer is full or reading is paused, and notifies its owner of bytes and of the
 * end. It is open until it is closed by either side, once and for good. Runs on the reactor thread.
 */
public final class SocketConnection implements SocketReadHandler {
    /** Is notified of bytes and of the end of a connection. */
    public interface Owner {
        /** There are bytes in the buffer that were not there before. */
        void onBytes();

        /** So many more bytes wait to go out; fewer when it is negative. */
        default void onUnsent(int change) {}

        /** The connection is closed; called once. */
        void onClosed();
    }

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] NOTHING = new byte[0];

    /** A buffer that grew past this is given up as soon as it is empty. */
    private static final int RETAINED_BUFFER_BYTES = 4_096;

    /** A body up to this size is copied behind its head, so that both go out at once. */
    private static final int COPIED_BODY_BYTES = 16 << 10;

    private final ITcpSocket socket;
    private final Owner owner;
    private final SocketReader reader;

    /** No more is read while this many bytes wait to be consumed. */
    private int maxBufferedBytes;

    private boolean open = true;
    private boolean readingPaused;
    private boolean endedByPeer;
    private int unsentBytes;
    private boolean closeWhenSent;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int position;
    private int limit;

    /** A connection over an open socket; {@link #start} begins to read. */
    public SocketConnection(ITcpSocket socket, int maxBufferedBytes, Owner owner) {
        this.socket = socket;
        this.owner = owner;
        this.maxBufferedBytes = maxBufferedBytes;
        reader = new SocketReader(socket, this);
    }

    /** Begins to read. */
    public void start() {
        reader.readWhileWanted();
    }

    public boolean isOpen() {
        return open;
    }

    /**
     * Whether the other side closed the connection in order, and neither this side nor a reset did.
     */
    public boolean endedByPeer() {
        return endedByPeer;
    }

    // ---- reading

    /** The buffer; valid bytes are from {@link #position} to {@link #limit}. */
    public byte[] buffer() {
        return buffer;
    }

    /** Where the first byte that is not consumed stands in the buffer. */
    public int position() {
        return position;
    }

    /** The end of the valid bytes in the buffer. */
    public int limit() {
        return limit;
    }

    /** The bytes that the buffer takes of the heap, whatever is in it. */
    public int bufferBytes() {
        return buffer.length;
    }

    /** Bytes that came and are not consumed. */
    public int available() {
        return limit - position;
    }

    /** Consumes bytes of the buffer, and reads on if it was full. */
    public void consume(int length) {
        if (available() >= maxBufferedBytes && available() - length < maxBufferedBytes) {
            Reactor.getCurrentReactor().post(reader::readWhileWanted);
        }
        position += length;
        if (position == limit) {
            position = 0;
            limit = 0;
            if (buffer.length > RETAINED_BUFFER_BYTES) {
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
        }
    }

    /** Drops what came and gives the buffer up, on a connection that is closed. */
    public void releaseBuffer() {
        buffer = NOTHING;
        position = 0;
        limit = 0;
    }

    /** From now on no more is read while this many bytes wait to be consumed. */
    public void limitReadAhead(int newMaxBufferedBytes) {
        var wasFull = available() >= maxBufferedBytes;
        maxBufferedBytes = newMaxBufferedBytes;
        if (wasFull && wantsMore()) {
            Reactor.getCurrentReactor().post(reader::readWhileWanted);
        }
    }

    /** Stops or resumes reading, so that the other side is slowed down by TCP's flow control. */
    public void pauseReading(boolean paused) {
        readingPaused = paused;
        reader.readWhileWanted();
    }

    @Override
    public boolean wantsMore() {
        return open && !readingPaused && available() < maxBufferedBytes;
    }

    @Override
    public void onBytes(ByteBuf bytes) {
        var length = bytes.readRemaining();
        if (limit + length > buffer.length) {
            makeRoom(length);
        }
        bytes.drainTo(buffer, limit, length);
        limit += length;
        owner.onBytes();
    }

    private void makeRoom(int length) {
        var needed = available() + length;
        var target =
                needed > buffer.length ? new byte[Math.max(buffer.length * 2, needed)] : buffer;
        System.arraycopy(buffer, position, target, 0, available());
        limit -= position;
        position = 0;
        buffer = target;
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

    // ---- writing

    /** Bytes that were written and have not gone out. */
    public int unsentBytes() {
        return unsentBytes;
    }

    /** Writes bytes, which must not be changed any more; does nothing once closed. */
    public void write(byte[] bytes) {
        if (!open || bytes.length == 0) {
            return;
        }
        unsentBytes += bytes.length;
        owner.onUnsent(bytes.length);
        socket.write(ByteBuf.wrapForReading(bytes))
                .subscribe(
                        (done, failure) -> {
                            unsentBytes -= bytes.length;
                            owner.onUnsent(-bytes.length);
                            if (failure != null || unsentBytes == 0 && closeWhenSent) {
                                close();
                            }
                        });
    }

    /** Writes a head and a body: as one message, or without a copy where the body is large. */
    public void write(byte[] head, byte[] body) {
        if (body.length > COPIED_BODY_BYTES) {
            write(head);
            write(body);
            return;
        }
        var message = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        write(message);
    }

    // ---- closing

    /** Closes once what was written has gone out. */
    public void closeWhenSent() {
        if (unsentBytes == 0) {
            close();
        } else {
            closeWhenSent = true;
        }
    }

    /** Closes at once; the owner is notified. */
    public void close() {
        if (open) {
            open = false;
            socket.close();
            owner.onClosed();
        }
    }

    /**
     * Closes at once, and drops what was written and has not arrived: the other side sees a reset.
     */
    public void reset() {
        if (open && socket instanceof TcpSocket tcpSocket) {
            try {
                tcpSocket.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException | UnsupportedOperationException e) {
                RingLog.debug("a connection is closed without a reset: " + e.getMessage());
            }
        }
        close();
    }
}
