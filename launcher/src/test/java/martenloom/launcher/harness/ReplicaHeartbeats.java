package martenloom.launcher.harness;

import java.io.Closeable;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends the heartbeats of all stand-in replicas, each to the first core daemon that takes it, on a
 * thread of its own. Thread-safe.
 */
final class ReplicaHeartbeats implements Closeable {
    private static final int INTERVAL_MS = 300;
    private static final int OK = 200;

    private final Supplier<Collection<String>> runningCores;
    private final List<StandInReplica> replicas = new CopyOnWriteArrayList<>();
    private final Set<StandInReplica> stopped = ConcurrentHashMap.newKeySet();

    /** By replica: the warm-up time that its heartbeats state, where it is not 0. */
    private final Map<StandInReplica, Integer> warmupLeftMs = new ConcurrentHashMap<>();

    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        var thread = new Thread(task, "heartbeats");
                        thread.setDaemon(true);
                        return thread;
                    });

    /**
     * @param runningCores the addresses of the core daemons that run
     */
    ReplicaHeartbeats(Supplier<Collection<String>> runningCores) {
        this.runningCores = runningCores;
    }

    void start() {
        scheduler.scheduleWithFixedDelay(this::sendAll, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    void add(StandInReplica replica, int warmupMs) {
        if (warmupMs > 0) {
            warmupLeftMs.put(replica, warmupMs);
        }
        replicas.add(replica);
    }

    void stop(StandInReplica replica) {
        stopped.add(replica);
    }

    void resume(StandInReplica replica) {
        stopped.remove(replica);
    }

    private void sendAll() {
        for (var replica : replicas) {
            if (!stopped.contains(replica)) {
                send(replica, "ready", warmupLeftMs.getOrDefault(replica, 0));
            }
        }
    }

    /** Sends one heartbeat; gives 200 once a daemon took it, otherwise 0. */
    int send(StandInReplica replica, String state, int warmupMs) {
        for (var ip : runningCores.get()) {
            if (ControlPlaneClient.heartbeat(ip, replica, state, warmupMs) == OK) {
                return OK;
            }
        }
        return 0;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
