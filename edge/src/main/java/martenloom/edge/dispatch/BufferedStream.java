package martenloom.edge.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import martenloom.edge.http.ErrorResponse;

/**
 * Stands before a client whose stream may outlast an edge that shuts down: the stream is passed on
 * only once it is complete, so that one that does not end in time can still be answered with an
 * error status in place of being truncated. Runs on the reactor thread.
 */
final class BufferedStream implements ResponseSink {
    /** A stream larger than this is passed on as it comes after all. */
    private static final int MAX_BUFFERED_BYTES = 1 << 18;

    private final ResponseSink client;
    private final byte[] failureHead;
    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private Optional<byte[]> head = Optional.empty();
    private boolean passedOn;

    /**
     * @param failureHead the head of the response if the stream ends in its middle
     */
    BufferedStream(ResponseSink client, byte[] failureHead) {
        this.client = client;
        this.failureHead = failureHead;
    }

    @Override
    public void respond(byte[] responseHead, byte[] body) {
        client.respond(responseHead, body);
    }

    @Override
    public void beginStream(byte[] responseHead) {
        head = Optional.of(responseHead);
    }

    @Override
    public void sendEvents(byte[] more) {
        if (passedOn) {
            client.sendEvents(more);
            return;
        }
        events.writeBytes(more);
        if (events.size() > MAX_BUFFERED_BYTES) {
            passOn();
        }
    }

    private void passOn() {
        if (!passedOn) {
            passedOn = true;
            client.beginStream(head.orElseThrow());
            client.sendEvents(events.toByteArray());
            events.reset();
        }
    }

    @Override
    public void endStream() {
        passOn();
        client.endStream();
    }

    @Override
    public void abortStream() {
        if (passedOn) {
            client.abortStream();
        } else {
            client.respond(failureHead, ErrorResponse.noBody());
        }
    }

    @Override
    public int unsentBytes() {
        return client.unsentBytes();
    }
}
