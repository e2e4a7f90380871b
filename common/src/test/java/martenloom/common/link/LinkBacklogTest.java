package martenloom.common.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The bound on what waits to be sent on all links of a thread. */
final class LinkBacklogTest {
    private static final int RECORD_BYTES = 1 << 20;

    /** A socket whose peer reads nothing. */
    private static final class UnreadSocket implements ITcpSocket {
        private final List<SettablePromise<Void>> writes = new ArrayList<>();
        private boolean closed;

        @Override
        public Promise<ByteBuf> read() {
            return new SettablePromise<>();
        }

        @Override
        public Promise<Void> write(ByteBuf bytes) {
            bytes.recycle();
            writes.add(new SettablePromise<>());
            return writes.get(writes.size() - 1);
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
            writes.forEach(write -> write.trySetException(reason));
        }
    }

    private static final PeerLinkHandler IGNORING =
            new PeerLinkHandler() {
                @Override
                public void onRecord(PeerLink link, byte[] record) {
                    // nothing comes
                }

                @Override
                public void onClosed(PeerLink link) {
                    // the socket shows it
                }
            };

    /** Guards against peers that do not read, each below the bound of a link, and no heap left. */
    @Test
    void theLinkOnWhichMostWaitsIsDroppedWhenTooMuchWaitsOnAll() {
        var loop = Eventloop.builder().withCurrentThread().build();
        var slow = new UnreadSocket();
        var other = new UnreadSocket();
        var slowLink = new PeerLink(slow, "slow", IGNORING);
        var otherLink = new PeerLink(other, "other", IGNORING);
        var traffic = LinkTraffic.ofCurrentThread();
        var mostBytes = Runtime.getRuntime().maxMemory() / 4;
        slowLink.send(new byte[2 * RECORD_BYTES]);
        for (var sent = 0L; !slow.closed && !other.closed && sent < 2 * mostBytes; ) {
            (slowLink.unsentBytes() <= otherLink.unsentBytes() + RECORD_BYTES
                            ? slowLink
                            : otherLink)
                    .send(new byte[RECORD_BYTES]);
            loop.run();
            sent += RECORD_BYTES;
            assertTrue(traffic.unsentBytes() <= mostBytes + 2 * RECORD_BYTES);
        }
        assertTrue(slow.closed);
        assertEquals(otherLink.unsentBytes(), traffic.unsentBytes());
    }
}
