package martenloom.launcher.harness;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Core daemons and edges, each a process of its own with limits of its own, and stand-in replicas
 * in the test's process. Thread-safe, but for starting and ending the same daemon at once.
 */
public final class ProcessCluster implements Closeable {
    private static final int FIRST_REVISION = 1;
    private static final int ANSWER_ATTEMPTS = 5;
    private static final int OK = 200;
    private static final long READY_TIMEOUT_NS = 60_000_000_000L;

    private final Path dir;
    private final ProcessLimits limits;
    private final ClusterLayout layout;
    private final ClusterSettings settings;
    private final ControlPlaneClient control;
    private final ReplicaHeartbeats heartbeats;
    private final List<StandInReplica> replicas;
    private final AtomicInteger ordinaryRequests = new AtomicInteger();
    private final int coreCount;
    private final Map<Integer, DaemonProcess> cores = new ConcurrentSkipListMap<>();
    private final Map<Integer, DaemonProcess> edges = new ConcurrentSkipListMap<>();

    /**
     * Starts everything and returns once the edges serve.
     *
     * @param network the number of the loopback network, of this cluster alone
     * @param configuration the first configuration, of revision 1
     */
    public ProcessCluster(
            Path dir,
            int network,
            int coreCount,
            int edgeCount,
            ProcessLimits limits,
            String configuration) {
        this.dir = dir;
        this.limits = limits;
        this.coreCount = coreCount;
        layout = new ClusterLayout(network);
        settings = new ClusterSettings(layout, dir, coreCount, limits);
        control = new ControlPlaneClient(layout, () -> coreCount);
        heartbeats = new ReplicaHeartbeats(this::coreAddresses);
        replicas =
                IntStream.range(0, ClusterLayout.zones().size()).mapToObj(this::replica).toList();
        IntStream.range(0, coreCount).forEach(number -> startCore(number, true));
        IntStream.range(0, edgeCount).forEach(this::startEdge);
        heartbeats.start();
        var started = false;
        try {
            configure(configuration);
            awaitServing();
            started = true;
        } finally {
            if (!started) {
                close();
            }
        }
    }

    private Collection<String> coreAddresses() {
        return IntStream.range(0, coreCount).mapToObj(layout::core).toList();
    }

    private StandInReplica replica(int number) {
        try {
            var replica =
                    new StandInReplica(
                            "i-p" + number,
                            "plain",
                            ClusterLayout.zone(number),
                            layout.replica(number));
            heartbeats.add(replica, 0);
            return replica;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void configure(String configuration) {
        var endNs = System.nanoTime() + READY_TIMEOUT_NS;
        while (control.replaceConfiguration(0, configuration) != OK) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("the first configuration is not acknowledged");
            }
        }
    }

    /** Returns once every edge is ready and serves; fails where that takes too long. */
    public void awaitServing() {
        var endNs = System.nanoTime() + READY_TIMEOUT_NS;
        for (var edge : edges.keySet()) {
            while (!isServing(edge)) {
                if (System.nanoTime() > endNs) {
                    throw new AssertionError(
                            "edge " + edge + " does not serve: " + edge(edge).output());
                }
            }
        }
    }

    private boolean isServing(int edge) {
        return answersAtEdge(edge) && answersAtReadiness(edge);
    }

    // ---- daemons

    /** Starts a core daemon again, on the files that it left. */
    public void startCore(int number) {
        startCore(number, false);
    }

    private void startCore(int number, boolean bootstrap) {
        var text = settings.core(number, bootstrap, ClusterLayout.INTERNAL_PORT);
        cores.put(number, start("core", number, text));
    }

    /** Starts an edge, again or for the first time. */
    public void startEdge(int number) {
        edges.put(number, start("edge", number, settings.edge(number)));
    }

    private DaemonProcess start(String role, int number, String text) {
        return new DaemonProcess(role, text, limits, dir.resolve(role + "-process" + number));
    }

    public DaemonProcess core(int number) {
        return cores.get(number);
    }

    public DaemonProcess edge(int number) {
        return edges.get(number);
    }

    /** How often an attempt was executed by all replicas together. */
    public int executions(String attempt) {
        return replicas.stream().mapToInt(replica -> replica.executions(attempt)).sum();
    }

    /** The operator's side of the control plane. */
    public ControlPlaneClient control() {
        return control;
    }

    // ---- addresses

    /** Where an edge takes requests of clients. */
    public String front(int edge) {
        return layout.edge(edge) + ":" + ClusterLayout.FRONT_PORT;
    }

    /** Where an edge answers the readiness check. */
    public String readiness(int edge) {
        return layout.edge(edge) + ":" + ClusterLayout.READINESS_PORT;
    }

    /** Where an edge takes links of other daemons. */
    public String edgeLinks(int edge) {
        return layout.edge(edge) + ":" + ClusterLayout.INTERNAL_PORT;
    }

    /** Where a core daemon takes calls. */
    public String controlPlane(int core) {
        return layout.control(core);
    }

    /** Where a core daemon takes links of other daemons. */
    public String coreLinks(int core) {
        return layout.core(core) + ":" + ClusterLayout.INTERNAL_PORT;
    }

    // ---- ordinary callers

    /** Whether one ordinary request gets its response from a replica, within few attempts. */
    public boolean answersAtEdge(int edge) {
        for (var attempt = 0; attempt < ANSWER_ATTEMPTS; attempt++) {
            var id = "ordinary-" + ordinaryRequests.incrementAndGet();
            var head = TestHttpClient.edgeHead("/safe/x", id) + "Connection: close\r\n";
            if (TestHttpClient.call(front(edge), head, "p").status() == OK) {
                return true;
            }
        }
        return false;
    }

    /** Whether the readiness check gets its 200, within few attempts. */
    public boolean answersAtReadiness(int edge) {
        return answersOk(readiness(edge), getHead("/readyz"), "");
    }

    /** Whether one ordinary call gets its response from a core daemon, within few attempts. */
    public boolean answersAtCore(int core) {
        return answersOk(controlPlane(core), getHead("/configuration/describe"), "");
    }

    /** Whether the first update of the configuration is acknowledged, within few attempts. */
    public boolean acknowledgesUpdate(int core) {
        var update = TestConfiguration.upsert(FIRST_REVISION + 1, TestConfiguration.STREAM_ONCE);
        var head =
                "POST /configuration/update HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
                        + "X-Base-Revision: "
                        + FIRST_REVISION
                        + "\r\n";
        return answersOk(controlPlane(core), head, update);
    }

    private static String getHead(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
    }

    private static boolean answersOk(String address, String head, String body) {
        for (var attempt = 0; attempt < ANSWER_ATTEMPTS; attempt++) {
            if (TestHttpClient.call(address, head, body).status() == OK) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() {
        heartbeats.close();
        edges.values().forEach(DaemonProcess::close);
        cores.values().forEach(DaemonProcess::close);
        for (var replica : replicas) {
            try {
                replica.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
