package martenloom.launcher.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * The ports of this test run. Runs of several checkouts on one machine use the same loopback
 * addresses; each reserves a block of ports by holding a socket of its own until its process ends.
 */
final class PortBlock {
    private static final int FIRST_RESERVATION = 16_000;
    private static final int BLOCKS = 16;
    private static final int BLOCK_SIZE = 700;
    private static final ServerSocket RESERVATION = reserve();

    private PortBlock() {}

    /** The given port moved into this run's block. */
    static int port(int port) {
        return port + BLOCK_SIZE * (RESERVATION.getLocalPort() - FIRST_RESERVATION);
    }

    private static ServerSocket reserve() {
        for (var block = 0; block < BLOCKS; block++) {
            try {
                return new ServerSocket(
                        FIRST_RESERVATION + block, 1, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                // held by another run
            }
        }
        throw new UncheckedIOException(new IOException("no block of ports is free"));
    }
}
