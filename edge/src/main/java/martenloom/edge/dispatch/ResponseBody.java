package martenloom.edge.dispatch;

import java.util.function.Consumer;
import martenloom.common.callers.BodyBuffer;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;

/**
 * The body of a response that is no stream: it is held until it is complete, and counts in the
 * account of responses. While that is full, reading from the replica is paused. Runs on the reactor
 * thread.
 */
final class ResponseBody {
    private static final int MAX_BYTES = 16 << 20;

    private final BodyBuffer bytes;
    private final MessageMemory.Reservation memory;
    private final Consumer<Boolean> pauseReading;
    private boolean paused;

    private ResponseBody(
            BodyBuffer bytes,
            int expectedBytes,
            MessageMemory account,
            Consumer<Boolean> pauseReading) {
        this.bytes = bytes;
        this.pauseReading = pauseReading;
        memory = account.open(expectedBytes, Clocks.nowUs(), this::resume);
    }

    /**
     * The body behind a head, of which nothing has come.
     *
     * @param pauseReading called with true when no more may be read, and with false when it may
     */
    static ResponseBody of(
            MessageHead head, MessageMemory account, Consumer<Boolean> pauseReading) {
        if (!head.has(HeaderField.CONTENT_LENGTH)) {
            return new ResponseBody(BodyBuffer.ofUnknownLength(), 0, account, pauseReading);
        }
        var length = head.bodyLength(HttpStatus.BAD_GATEWAY);
        return new ResponseBody(BodyBuffer.ofLength(length), length, account, pauseReading);
    }

    /** Appends bytes that were read; false if the body gets longer than an edge takes. */
    boolean append(byte[] source, int offset, int length) {
        if (bytes.length() + length > MAX_BYTES) {
            return false;
        }
        bytes.append(source, offset, length);
        var mayReadOn = memory.takeRead(length, Clocks.nowUs());
        if (!mayReadOn && !paused) {
            paused = true;
            pauseReading.accept(true);
        }
        return true;
    }

    private void resume() {
        if (paused) {
            paused = false;
            pauseReading.accept(false);
        }
    }

    /** All of it. */
    byte[] complete() {
        memory.complete();
        return bytes.complete();
    }

    /** Gives its memory back; does nothing the second time. */
    void close() {
        memory.close(Clocks.nowUs());
    }
}
