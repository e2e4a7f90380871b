package martenloom.edge.transport;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A socket without a network: keeps what is written, and is fed what shall be read. */
public final class FakeSocket implements ITcpSocket {
    private final StringBuilder written = new StringBuilder();
    private SettablePromise<ByteBuf> pendingRead = new SettablePromise<>();
    private boolean closed;
    private Promise<Void> nextWrite = Promise.complete();

    /** From now on what is written does not go out; the promise that is returned lets it go. */
    public SettablePromise<Void> holdWrites() {
        var held = new SettablePromise<Void>();
        nextWrite = held;
        return held;
    }

    /** Bytes come from the other side. */
    public void receive(String text) {
        var read = pendingRead;
        pendingRead = new SettablePromise<>();
        read.set(ByteBuf.wrapForReading(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** The other side closes the connection in order. */
    public void receiveEnd() {
        pendingRead.set(null);
    }

    /** The other side resets the connection. */
    public void receiveReset() {
        pendingRead.setException(new IOException("reset"));
    }

    /** What was written since the last call. */
    public String takeWritten() {
        var text = written.toString();
        written.setLength(0);
        return text;
    }

    @Override
    public Promise<ByteBuf> read() {
        return pendingRead;
    }

    @Override
    public Promise<Void> write(ByteBuf bytes) {
        written.append(new String(bytes.asArray(), StandardCharsets.ISO_8859_1));
        return nextWrite;
    }

    @Override
    public boolean isReadAvailable() {
        return false;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void closeEx(Exception reason) {
        closed = true;
    }
}
