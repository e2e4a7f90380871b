package martenloom.launcher;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * The loopback addresses of a {@link ClassArchiveTraining}: a port range for the links between the
 * daemons, and the ports that each daemon listens on for others.
 *
 * @param firstPort the first port of the range
 */
record TrainingAddresses(int firstPort) {
    static final String CORE_IP = "127.0.0.1";
    static final String EDGE_IP = "127.0.0.2";

    /** The ports that are tried lie below those that systems hand out by themselves. */
    private static final int LOWEST_PORT = 10_000;

    private static final int PORT_SPREAD = 6_000;
    private static final int ATTEMPTS = 50;

    /** Where the ports stand behind the first one of the range. */
    private static final int LAST_OF_RANGE = 9;

    private static final int CONTROL = 10;
    private static final int FRONT = 11;
    private static final int READINESS = 12;

    /** Addresses whose ports are free just now. */
    static TrainingAddresses findFree() throws IOException {
        return IntStream.range(0, ATTEMPTS)
                .map(attempt -> LOWEST_PORT + ThreadLocalRandom.current().nextInt(PORT_SPREAD))
                .mapToObj(TrainingAddresses::new)
                .filter(TrainingAddresses::areFree)
                .findFirst()
                .orElseThrow(() -> new IOException("no free ports"));
    }

    private boolean areFree() {
        return List.of(
                        new InetSocketAddress(CORE_IP, firstPort),
                        new InetSocketAddress(EDGE_IP, firstPort),
                        control(),
                        front(),
                        readiness())
                .stream()
                .allMatch(TrainingAddresses::isFree);
    }

    private static boolean isFree(InetSocketAddress address) {
        try (var socket = new ServerSocket()) {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    int lastPort() {
        return firstPort + LAST_OF_RANGE;
    }

    /** The control API of the core daemon. */
    InetSocketAddress control() {
        return new InetSocketAddress(CORE_IP, firstPort + CONTROL);
    }

    /** Where the edge takes requests. */
    InetSocketAddress front() {
        return new InetSocketAddress(EDGE_IP, firstPort + FRONT);
    }

    /** Where the edge says whether it is ready. */
    InetSocketAddress readiness() {
        return new InetSocketAddress(EDGE_IP, firstPort + READINESS);
    }
}
