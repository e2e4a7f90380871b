package martenloom.common.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenloom.common.clock.Clocks;
import martenloom.common.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded frames of a link, as a plain socket at its other end sees and sends them. */
final class PeerLinksGoldenTest {
    private static final byte[] FIRST = {46, 1, 2, 3};
    private static final byte[] SECOND = {47};
    private static final byte[] LARGE = new byte[700];
    private static final int FRAMES_LENGTH = 3 * 4 + FIRST.length + SECOND.length + LARGE.length;

    private final GoldenBytes golden = new GoldenBytes("link-frames.txt");

    /** Puts what arrives, and an empty array for the end of a link, into a queue. */
    private static final class Arrivals implements PeerLinkHandler {
        final LinkedBlockingQueue<byte[]> records = new LinkedBlockingQueue<>();

        @Override
        public void onRecord(PeerLink link, byte[] record) {
            records.add(record);
        }

        @Override
        public void onClosed(PeerLink link) {
            records.add(new byte[0]);
        }

        byte[] next() throws InterruptedException {
            return records.poll(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void recordsAreFramedAndTakenApartAsRecorded() throws Exception {
        var loop = Clocks.reactor("frames");
        loop.keepAlive(true);
        var arrivals = new Arrivals();
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(10_000);
            var dial = new CompletableFuture<OutgoingPeerLink>();
            loop.execute(() -> dial.complete(dial(loop, server, arrivals)));
            var thread = new Thread(loop::run, "frames");
            thread.setDaemon(true);
            thread.start();
            try (var socket = server.accept()) {
                socket.setSoTimeout(10_000);
                var frames = socket.getInputStream().readNBytes(FRAMES_LENGTH);
                golden.check("three-frames", frames);

                socket.getOutputStream().write(golden.bytes("three-frames"));
                assertArrayEquals(FIRST, arrivals.next());
                assertArrayEquals(SECOND, arrivals.next());
                assertArrayEquals(LARGE, arrivals.next());

                socket.getOutputStream().write(new byte[] {0, 0, 0, 0});
                assertArrayEquals(new byte[0], arrivals.next(), "a record of no bytes ends a link");
                assertEquals(-1, socket.getInputStream().read());
            }
            var ended = dial.join();
            loop.execute(
                    () -> {
                        ended.stop();
                        loop.keepAlive(false);
                        loop.breakEventloop();
                    });
            thread.join(10_000);
        }
    }

    private static OutgoingPeerLink dial(
            io.activej.eventloop.Eventloop loop, ServerSocket server, Arrivals arrivals) {
        return new OutgoingPeerLink(
                loop,
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                200_000,
                link -> {
                    link.send(FIRST);
                    link.send(SECOND);
                    link.send(LARGE);
                },
                arrivals);
    }
}
