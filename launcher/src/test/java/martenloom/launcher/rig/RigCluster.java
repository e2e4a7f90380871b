package martenloom.launcher.rig;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import martenloom.common.error.LinkException;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;
import martenloom.launcher.harness.ReactorThread;
import martenloom.launcher.harness.SettingsText;

/**
 * The daemons of one run: core daemons with real files, each on a reactor of its own, and edges
 * that share a few reactors. Its methods are called from one thread.
 */
final class RigCluster implements Closeable {
    /** The reactors that all edges share. */
    static final int EDGE_REACTORS = 4;

    private static final int SEEDS = 3;
    private static final int INTERNAL_PORT = 27720;
    private static final int LAST_INTERNAL_PORT = INTERNAL_PORT + 9;
    private static final int CONTROL_PORT = 28166;
    private static final int FRONT_PORT = 28161;
    private static final int READINESS_PORT = 28167;
    private static final int HEARTBEAT_INTERVAL_MS = 1200;
    private static final int MAX_FILE_DESCRIPTORS = 2000;
    private static final int RETRY_SLACK = 194;
    private static final int FIRST_HOST = 10;
    private static final int EDGES_IN_A_SUBNET = 200;
    private static final int FIRST_EDGE_SUBNET = 2;
    private static final int OK = 200;
    private static final int MOST_ORDERS = 100;
    private static final long IN_FORCE_TIMEOUT_NS = 20_000_000_000L;
    private static final long POLL_NS = 1_000_000;
    private static final long NS_PER_MS = 1_000_000;

    private final RigSize size;
    private final int network;
    private final Path dir;
    private final List<ReactorThread> coreReactors = new ArrayList<>();
    private final List<ReactorThread> edgeReactors = new ArrayList<>();
    private final List<EdgeDaemon> edges = new ArrayList<>();
    private final HollowReplicas replicas;
    private int revision;

    RigCluster(RigSize size, int network) throws IOException {
        this.size = size;
        this.network = network;
        dir = Files.createTempDirectory("rig");
        replicas = new HollowReplicas(size, this::control);
    }

    /** The name of a core daemon's thread, under which its records are counted. */
    String coreThread(int core) {
        return "core-" + network + "-" + core;
    }

    /** The name of a thread that runs edges, under which their records are counted. */
    String edgeThread(int reactor) {
        return "edges-" + network + "-" + reactor;
    }

    private String core(int number) {
        return "127." + network + ".1." + (FIRST_HOST + number);
    }

    private String edge(int number) {
        var subnet = FIRST_EDGE_SUBNET + number / EDGES_IN_A_SUBNET;
        return "127." + network + "." + subnet + "." + (FIRST_HOST + number % EDGES_IN_A_SUBNET);
    }

    private String control(int core) {
        return core(core) + ":" + CONTROL_PORT;
    }

    /** Starts everybody and returns once the first configuration is in force. */
    void start() throws IOException {
        for (var i = 0; i < size.cores(); i++) {
            startCore(i);
        }
        replicas.start();
        for (var i = 0; i < EDGE_REACTORS; i++) {
            edgeReactors.add(ReactorThread.start(edgeThread(i)));
        }
        for (var i = 0; i < size.edges(); i++) {
            addEdge();
        }
        changeConfiguration();
    }

    private void startCore(int number) {
        var settings = settings("core", number);
        var reactor = ReactorThread.start(coreThread(number));
        coreReactors.add(reactor);
        reactor.call(
                () -> {
                    var folder = new FileSystemFolder(settings.dataDirectory());
                    var daemon = new CoreDaemon(settings, reactor.reactor(), folder);
                    daemon.start();
                    return daemon;
                });
    }

    /** Starts one more edge. */
    void addEdge() {
        var settings = settings("edge", edges.size());
        var reactor = edgeReactors.get(edges.size() % EDGE_REACTORS);
        edges.add(
                reactor.call(
                        () -> {
                            var daemon = new EdgeDaemon(settings, reactor.reactor());
                            daemon.start();
                            return daemon;
                        }));
    }

    private Settings settings(String role, int number) {
        var isCore = role.equals("core");
        var ip = isCore ? core(number) : edge(number);
        var text =
                new SettingsText(role + number, ip)
                        .located(size.zone(number), size.region(number % size.zones()))
                        .internalPorts(INTERNAL_PORT, LAST_INTERNAL_PORT)
                        .seeds(IntStream.range(0, SEEDS).mapToObj(this::control).toList())
                        .value("Bootstrap", true)
                        .dataDirectory(dir.resolve("c" + number))
                        .value("HeartbeatIntervalMs", HEARTBEAT_INTERVAL_MS)
                        .value("Serves", "[]")
                        .section("Zones");
        for (var zone = 0; zone < size.zones(); zone++) {
            text.quoted(size.zone(zone), size.region(zone));
        }
        text.section("ListenAddresses");
        if (isCore) {
            text.quoted("ControlPlane", control(number));
        } else {
            text.quoted("Frontend", ip + ":" + FRONT_PORT);
            text.quoted("Readiness", ip + ":" + READINESS_PORT);
        }
        text.section("Limits").value("MaxFileDescriptors", MAX_FILE_DESCRIPTORS);
        text.section("Bounds").value("RetrySlack", RETRY_SLACK);
        return SettingsFile.parse(text.toString());
    }

    /**
     * Orders the next configuration and waits until it is in force at every edge, except for the
     * first one, which makes the edges ready; gives how long that took in milliseconds.
     */
    long changeConfiguration() throws IOException {
        var beganNs = System.nanoTime();
        var base = revision++;
        orderConfiguration(base);
        var end = System.nanoTime() + IN_FORCE_TIMEOUT_NS;
        while (base > 0 && !isInForceEverywhere() && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_NS);
        }
        return (System.nanoTime() - beganNs) / NS_PER_MS;
    }

    private void orderConfiguration(int base) throws IOException {
        var fields = "X-Base-Revision: " + base + "\r\n";
        for (var i = 0; i <= MOST_ORDERS; i++) {
            try (var connection = new ControlConnection(control(i % size.cores()))) {
                var text = RigConfiguration.of(size, revision);
                if (connection.call("POST /configuration/replace", fields, text) == OK) {
                    return;
                }
            }
        }
        throw new LinkException("change configuration", "not acknowledged");
    }

    private boolean isInForceEverywhere() {
        return edges.stream().allMatch(edge -> edge.revision() >= revision);
    }

    /** Waits until every edge is ready, for so long at most each. */
    void awaitReady(int timeoutS) {
        for (var edge : edges) {
            edge.whenReady().completeOnTimeout(false, timeoutS, TimeUnit.SECONDS).join();
        }
    }

    /** Whether every edge has heard of all edges. */
    boolean isEveryEdgeHeard() {
        return edges.stream().allMatch(edge -> edge.edgesHeard() >= edges.size());
    }

    RigResult.Reach reach() {
        return new RigResult.Reach(
                (int) edges.stream().filter(edge -> edge.whenReady().getNow(false)).count(),
                edges.stream().mapToLong(edge -> edge.replicaTable().all().size()).min().orElse(0),
                edges.stream().mapToInt(EdgeDaemon::edgesHeard).min().orElse(0));
    }

    List<Long> coreThreadIds() {
        return coreReactors.stream().map(ReactorThread::threadId).toList();
    }

    List<Long> edgeThreadIds() {
        return edgeReactors.stream().map(ReactorThread::threadId).toList();
    }

    @Override
    public void close() throws IOException {
        replicas.close();
        coreReactors.forEach(ReactorThread::stop);
        edgeReactors.forEach(ReactorThread::stop);
        try (var files = Files.walk(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
