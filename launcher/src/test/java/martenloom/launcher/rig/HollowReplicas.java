package martenloom.launcher.rig;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Replicas that only send heartbeats: each every 1.2 s, over a few kept connections, each at a core
 * daemon of its own and served by a thread of its own. Thread-safe.
 */
final class HollowReplicas implements Closeable {
    private static final int MOST_CONNECTIONS = 16;
    private static final long INTERVAL_NS = 1_200_000_000L;
    private static final int FIRST_PORT = 1_000;

    private final RigSize size;
    private final IntFunction<String> controlAddress;
    private final AtomicBoolean closed = new AtomicBoolean();

    /**
     * @param controlAddress where a core daemon listens, by its number
     */
    HollowReplicas(RigSize size, IntFunction<String> controlAddress) {
        this.size = size;
        this.controlAddress = controlAddress;
    }

    void start() {
        var connections = Math.min(MOST_CONNECTIONS, size.replicas());
        for (var i = 0; i < connections; i++) {
            var part = i;
            var thread = new Thread(() -> sendHeartbeats(part, connections), "heartbeats");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void sendHeartbeats(int part, int parts) {
        var replicas =
                IntStream.range(0, size.replicas())
                        .filter(replica -> replica % parts == part)
                        .toArray();
        try (var connection = new ControlConnection(controlAddress.apply(part % size.cores()))) {
            for (var sequence = 1; !closed.get(); sequence++) {
                var beganNs = System.nanoTime();
                for (var i = 0; i < replicas.length && !closed.get(); i++) {
                    parkUntil(beganNs + INTERVAL_NS * i / replicas.length);
                    sendHeartbeat(connection, replicas[i], sequence);
                }
                parkUntil(beganNs + INTERVAL_NS);
            }
        } catch (IOException e) {
            if (!closed.get()) {
                System.err.println("rig: beats of part " + part + " ended: " + e.getMessage());
            }
        }
    }

    private static void parkUntil(long dueNs) {
        LockSupport.parkNanos(dueNs - System.nanoTime());
    }

    private void sendHeartbeat(ControlConnection connection, int replica, int sequence)
            throws IOException {
        connection.call(
                "POST /instances/i-" + replica + "/heartbeat",
                "",
                "{\"Backend\":\"s"
                        + replica % size.models()
                        + "\",\"Address\":\"127.0.0.1:"
                        + (FIRST_PORT + replica)
                        + "\",\"Zone\":\""
                        + size.zone(replica)
                        + "\",\"Capacity\":32,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":"
                        + sequence
                        + "}");
    }

    @Override
    public void close() {
        closed.set(true);
    }
}
