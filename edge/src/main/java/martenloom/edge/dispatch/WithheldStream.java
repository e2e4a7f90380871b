package martenloom.edge.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Stands before a client that came late to an edge that leaves: a stream is passed on only once it
 * is whole, so that one that does not end in time can still be answered in full, with a failure, in
 * place of being cut in the middle.
 */
final class WithheldStream implements Request.Sink {
    /** A stream larger than this is passed on as it comes after all. */
    private static final int MOST_BYTES = 1 << 18;

    private final Request.Sink client;
    private final byte[] failure;
    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private Optional<byte[]> head = Optional.empty();
    private boolean opened;

    WithheldStream(Request.Sink client, byte[] failure) {
        this.client = client;
        this.failure = failure;
    }

    @Override
    public void whole(byte[] h, byte[] body) {
        client.whole(h, body);
    }

    @Override
    public void open(byte[] h) {
        head = Optional.of(h);
    }

    @Override
    public void event(byte[] b) {
        if (opened) {
            client.event(b);
            return;
        }
        events.writeBytes(b);
        if (events.size() > MOST_BYTES) {
            passOn();
        }
    }

    private void passOn() {
        if (!opened) {
            opened = true;
            client.open(head.orElseThrow());
            client.event(events.toByteArray());
            events.reset();
        }
    }

    @Override
    public void end() {
        passOn();
        client.end();
    }

    @Override
    public void cut() {
        if (opened) {
            client.cut();
        } else {
            client.whole(failure, new byte[0]);
        }
    }

    @Override
    public int waiting() {
        return client.waiting();
    }
}
