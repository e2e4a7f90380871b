package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.function.Supplier;
import martenloom.common.callers.BodyBuffer;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ChunkedBodyReader;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MalformedMessageException;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.transport.SocketConnection;

/**
 * The body of the request that a client's connection reads, or has in flight: takes memory as its
 * bytes come, and lets reading rest while there is none. Runs on the reactor thread.
 */
final class RequestBody {
    private final SocketConnection socket;
    private final Eventloop loop;
    private final Supplier<MessageMemory> account;
    private final Runnable onRoom;
    private BodyBuffer bytes = BodyBuffer.ofLength(0);

    /** The memory that the body takes, from its beginning to the end of the request. */
    private Optional<MessageMemory.Reservation> memory = Optional.empty();

    /** Since when the body waits for memory; 0 while it doesn't. */
    private long waitingForMemorySinceUs;

    /** The body in the chunked coding; else {@link #bytesLeft} counts it. */
    private Optional<ChunkedBodyReader> chunks = Optional.empty();

    private int bytesLeft;

    /**
     * @param onRoom called when a body that waited for memory may read on
     */
    RequestBody(
            SocketConnection socket,
            Eventloop loop,
            Supplier<MessageMemory> account,
            Runnable onRoom) {
        this.socket = socket;
        this.loop = loop;
        this.account = account;
        this.onRoom = onRoom;
    }

    /** Begins to read a body of this length, which may be {@link MessageHead#CHUNKED}. */
    void begin(int length) {
        chunks =
                length == MessageHead.CHUNKED
                        ? Optional.of(new ChunkedBodyReader(HttpStatus.BAD_REQUEST))
                        : Optional.empty();
        bytesLeft = Math.max(0, length);
        bytes = chunks.isPresent() ? BodyBuffer.ofUnknownLength() : BodyBuffer.ofLength(length);
    }

    /**
     * Takes what has come of the body.
     *
     * @return false when there was no memory for all of it; reading rests then
     */
    boolean read(int maxBytes) {
        var available = socket.available();
        var wanted = chunks.isPresent() ? available : Math.min(bytesLeft, available);
        var granted = takeMemory(wanted);
        if (granted > 0 && chunks.isPresent()) {
            readChunks(chunks.get(), granted, maxBytes);
        } else if (granted > 0) {
            bytes.append(socket.buffer(), socket.position(), granted);
            socket.consume(granted);
            bytesLeft -= granted;
        }
        return granted == wanted;
    }

    private void readChunks(ChunkedBodyReader reader, int length, int maxBytes) {
        var start = socket.position();
        var end = reader.read(socket.buffer(), start, start + length, bytes::append);
        socket.consume(end - start);
        if (bytes.length() > maxBytes) {
            throw new MalformedMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
        }
    }

    private int takeMemory(int wanted) {
        var nowUs = Clocks.nowUs();
        if (memory.isEmpty()) {
            memory = Optional.of(account.get().open(bytesLeft, nowUs, () -> loop.post(onRoom)));
        }
        var granted = memory.get().take(wanted, nowUs);
        if (granted < wanted && (granted > 0 || waitingForMemorySinceUs == 0)) {
            waitingForMemorySinceUs = nowUs;
            socket.pauseReading(true);
        } else if (granted == wanted) {
            stopWaitingForMemory();
        }
        return granted;
    }

    private void stopWaitingForMemory() {
        if (waitingForMemorySinceUs > 0) {
            waitingForMemorySinceUs = 0;
            loop.post(this::resumeReading);
        }
    }

    private void resumeReading() {
        if (waitingForMemorySinceUs == 0) {
            socket.pauseReading(false);
        }
    }

    /** Whether all of it has come. */
    boolean isComplete() {
        return chunks.map(ChunkedBodyReader::done).orElse(bytesLeft == 0);
    }

    /** The complete body; its memory is held until {@link #release}. */
    byte[] finish() {
        memory.ifPresent(MessageMemory.Reservation::complete);
        stopWaitingForMemory();
        var complete = bytes.complete();
        bytes = BodyBuffer.ofLength(0);
        return complete;
    }

    /** What its buffer takes of the heap. */
    int bufferBytes() {
        return bytes.capacity();
    }

    /** What its buffer takes beyond the bytes that the account of requests counts. */
    int unusedBytes() {
        return bytes.capacity() - bytes.length();
    }

    /** Whether it waits for memory, so that its client cannot be blamed for a pause. */
    boolean waitsForMemory() {
        return waitingForMemorySinceUs > 0;
    }

    /** Whether it is one that does not wait behind large ones. */
    boolean isSmall() {
        return bytesLeft + bytes.length() <= MessageMemory.SMALL_BYTES;
    }

    /** Whether it has waited for memory for longer than this. */
    boolean waitsForMemoryLongerThan(long limitUs, long nowUs) {
        return waitingForMemorySinceUs > 0 && nowUs - waitingForMemorySinceUs > limitUs;
    }

    /** Gives its memory back; what was read of it and not handed over is dropped. */
    void release() {
        stopWaitingForMemory();
        bytes = BodyBuffer.ofLength(0);
        var released = memory;
        memory = Optional.empty();
        released.ifPresent(reservation -> reservation.close(Clocks.nowUs()));
    }

    /** Drops what has come; whether that was the last of a body whose length is known. */
    boolean passOver() {
        bytesLeft -= socket.available();
        socket.consume(socket.available());
        return chunks.isEmpty() && bytesLeft <= 0;
    }
}
