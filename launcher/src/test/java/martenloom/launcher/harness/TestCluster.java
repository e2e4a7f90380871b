package martenloom.launcher.harness;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.edge.EdgeDaemon;
import martenloom.shell.Shell;

/**
 * Whole daemons over loopback: core daemons and edges, each on a reactor of its own and at a
 * loopback address of its own, with stand-in replicas. Waiting is for signals: an edge's readiness,
 * a response, a state that a shell query shows. Thread-safe, but for starting and killing the same
 * daemon at once.
 */
public final class TestCluster implements Closeable {
    private static final long QUERY_TIMEOUT_NS = 25_000_000_000L;
    private static final long READY_TIMEOUT_S = 30;
    private static final long NS_PER_MS = 1_000_000;
    private static final Pattern VIEW =
            Pattern.compile("chain \\[([^]]*)\\].*\\nroster \\[([^]]*)\\]");

    private final ClusterLayout layout;
    private final ClusterSettings settings;
    private final ScalingSettings scaling;
    private final ControlPlaneClient control;
    private final ReplicaHeartbeats heartbeats = new ReplicaHeartbeats(this::runningCores);
    private final List<StandInReplica> replicas = new CopyOnWriteArrayList<>();
    private final Set<Integer> fullDisks = ConcurrentHashMap.newKeySet();

    /** What runs, by address, in the order of addresses. */
    private final Map<String, ReactorThread> reactors = new ConcurrentSkipListMap<>();

    private final Map<String, DetachableDisk> disks = new ConcurrentHashMap<>();
    private final Map<String, CountDownLatch> frozen = new ConcurrentHashMap<>();
    private final Map<Integer, CoreDaemon> cores = new ConcurrentHashMap<>();
    private final Map<Integer, EdgeDaemon> edges = new ConcurrentHashMap<>();
    private final Map<Integer, Settings> edgeSettings = new ConcurrentHashMap<>();

    TestCluster(Path dir, int network, int coreCount, int edgeMemoryMb, ScalingSettings scaling) {
        layout = new ClusterLayout(network);
        settings = new ClusterSettings(layout, dir, coreCount, edgeMemoryMb);
        this.scaling = scaling;
        control = new ControlPlaneClient(layout, () -> runningCores().size());
        for (var i = 0; i < coreCount; i++) {
            startCore(i, true);
        }
    }

    /** Begins to describe a cluster whose daemons keep their files in this folder. */
    public static TestClusterBuilder in(Path dir) {
        return new TestClusterBuilder(dir);
    }

    // ---- addresses

    public String core(int number) {
        return layout.core(number);
    }

    public String edge(int number) {
        return layout.edge(number);
    }

    /** Where clients reach an edge. */
    public String front(int edge) {
        return edge(edge) + ":" + ClusterLayout.FRONT_PORT;
    }

    private Collection<String> runningCores() {
        return reactors.keySet().stream().filter(layout::isCore).toList();
    }

    // ---- core daemons

    /** Starts a core daemon again, or one more, on the files that its folder has. */
    public void startCore(int number) {
        startCore(number, false);
    }

    private void startCore(int number, boolean bootstrap) {
        startCore(number, settings.core(number, bootstrap, ClusterLayout.INTERNAL_PORT));
    }

    /**
     * Starts a core daemon that is partitioned from every other daemon, both ways, because its
     * internal port is not theirs; replicas and the operator still reach it.
     */
    public void startPartitionedCore(int number) {
        startCore(number, settings.core(number, false, ClusterLayout.PARTITIONED_PORT));
    }

    private void startCore(int number, String settingsText) {
        var parsed = SettingsFile.parse(settingsText);
        var disk =
                new DetachableDisk(
                        settings.coreDirectory(number).toString(),
                        () -> fullDisks.contains(number));
        disks.put(core(number), disk);
        var reactor = ReactorThread.start(core(number));
        cores.put(
                number,
                reactor.call(
                        () -> {
                            var daemon = new CoreDaemon(parsed, reactor.reactor(), disk.asFolder());
                            daemon.start();
                            return daemon;
                        }));
        reactors.put(core(number), reactor);
    }

    /** As SIGTERM does: the daemon shuts down, then its process ends; says whether in order. */
    public boolean shutDownCore(int number) {
        var inOrder = cores.get(number).shutDown();
        kill(core(number));
        return inOrder;
    }

    /** Every write of this core daemon's disk fails until it is mended. */
    public void fillDisk(int core) {
        fullDisks.add(core);
    }

    /** Ends {@link #fillDisk}. */
    public void freeDisk(int core) {
        fullDisks.remove(core);
    }

    /** Loses the files of a core daemon that does not run. */
    public void wipeDisk(int core) {
        try (var files = Files.walk(settings.coreDirectory(core))) {
            files.filter(Files::isRegularFile).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Asks until each of these core daemons tells of a view and a roster of just these members, and
     * says after how many milliseconds.
     */
    public long awaitView(int... members) {
        var since = System.nanoTime();
        var expected = Arrays.stream(members).mapToObj(this::core).sorted().toList();
        for (var member : members) {
            var shown = "";
            var agreed = false;
            while (!agreed && System.nanoTime() - since < QUERY_TIMEOUT_NS) {
                shown = ask(core(member), "chain");
                var view = VIEW.matcher(shown);
                agreed =
                        view.find()
                                && sorted(view.group(1)).equals(expected)
                                && sorted(view.group(2)).equals(expected);
            }
            if (!agreed) {
                throw new AssertionError("not a view of " + expected + ": " + shown);
            }
        }
        return (System.nanoTime() - since) / NS_PER_MS;
    }

    private static List<String> sorted(String list) {
        return Arrays.stream(list.split(", ")).sorted().toList();
    }

    // ---- edges

    /** Starts an edge, again or one more, and gives its daemon. */
    public EdgeDaemon startEdge(int number) {
        var parsed = SettingsFile.parse(edgeSettingsText(number));
        edgeSettings.put(number, parsed);
        var reactor = ReactorThread.start(edge(number));
        var daemon =
                reactor.call(
                        () -> {
                            var starting = new EdgeDaemon(parsed, reactor.reactor(), scaling);
                            starting.start();
                            return starting;
                        });
        reactors.put(edge(number), reactor);
        edges.put(number, daemon);
        return daemon;
    }

    public EdgeDaemon edgeDaemon(int number) {
        return edges.get(number);
    }

    /** The text of an edge's settings file. */
    public String edgeSettingsText(int number) {
        return settings.edge(number);
    }

    /** The settings that a started edge uses. */
    public Settings edgeSettings(int number) {
        return edgeSettings.get(number);
    }

    /** Returns once each of these edges is ready; fails after 30 s. */
    public void awaitReady(int... numbers) {
        for (var number : numbers) {
            edges.get(number).whenReady().orTimeout(READY_TIMEOUT_S, TimeUnit.SECONDS).join();
        }
    }

    // ---- faults of daemons

    /** A daemon says nothing any more while its sockets stay open, as in a silent partition. */
    public void freeze(String ip) {
        frozen.put(ip, reactors.get(ip).freeze());
    }

    /** Ends {@link #freeze}. */
    public void thaw(String ip) {
        frozen.remove(ip).countDown();
    }

    /**
     * Ends a daemon as a kill would: its sockets close, its thread has ended and its disk is no
     * longer written.
     */
    public void kill(String ip) {
        reactors.remove(ip).stop();
        Optional.ofNullable(disks.remove(ip)).ifPresent(DetachableDisk::detach);
    }

    /** Freezes or kills a core daemon for a while; the future ends when it is back. */
    public CompletableFuture<Void> interruptCore(int number, boolean freezes, int lengthMs) {
        var ip = core(number);
        if (freezes) {
            freeze(ip);
        } else {
            kill(ip);
        }
        return CompletableFuture.runAsync(
                () -> {
                    if (freezes) {
                        thaw(ip);
                    } else {
                        startCore(number);
                    }
                },
                CompletableFuture.delayedExecutor(lengthMs, TimeUnit.MILLISECONDS));
    }

    // ---- replicas

    /** All replicas in the order in which they were added. */
    public List<StandInReplica> replicas() {
        return replicas;
    }

    /** The replica with this id. */
    public StandInReplica replica(String id) {
        return replicas.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
    }

    /** Adds a replica while the cluster runs. */
    public StandInReplica addReplica(String id, String service, int zone) {
        return addReplica(id, service, zone, 0);
    }

    StandInReplica addReplica(String id, String service, int zone, int warmupMs) {
        try {
            var replica =
                    new StandInReplica(
                            id, service, ClusterLayout.zone(zone), layout.replica(replicas.size()));
            replicas.add(replica);
            heartbeats.add(replica, warmupMs);
            return replica;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** From now on every replica has this fault. */
    public void faultOfAll(ReplicaFault fault) {
        replicas.forEach(replica -> replica.fault(fault));
    }

    /** How often an attempt was executed by all replicas together. */
    public int executions(String attempt) {
        return replicas.stream().mapToInt(replica -> replica.executions(attempt)).sum();
    }

    void startHeartbeats() {
        heartbeats.start();
    }

    public void stopHeartbeats(StandInReplica replica) {
        heartbeats.stop(replica);
    }

    public void resumeHeartbeats(StandInReplica replica) {
        heartbeats.resume(replica);
    }

    /** Sends one heartbeat now; gives 200 once a core daemon took it, otherwise 0. */
    public int sendHeartbeat(StandInReplica replica, String state) {
        return heartbeats.send(replica, state, 0);
    }

    // ---- clients, the operator and the shell

    public ControlPlaneClient control() {
        return control;
    }

    /** Sends a request to an edge; more header fields may be added, each with its line end. */
    public HttpReply request(int edge, String path, String attempt, String more, String body) {
        var head = TestHttpClient.edgeHead(path, attempt) + "Connection: close\r\n" + more;
        return TestHttpClient.call(front(edge), head, body);
    }

    /** Sends a request without a body to an edge. */
    public HttpReply request(int edge, String path, String attempt) {
        return request(edge, path, attempt, "", "");
    }

    /** Sends a small prompt to an edge. */
    public HttpReply prompt(int edge, String path, String attempt) {
        return request(edge, path, attempt, Prompts.SMALL, "p");
    }

    /** The status that the platform's readiness check gets from an edge; 0 for no answer. */
    public int readiness(int edge) {
        return TestHttpClient.call(
                        edge(edge) + ":" + ClusterLayout.READINESS_PORT,
                        "GET /readyz HTTP/1.1\r\nHost: c\r\nConnection: close\r\n",
                        "")
                .status();
    }

    /** The answer of the daemon at this address to a query of the shell. */
    public String ask(String ip, String query) {
        return Shell.ask(new InetSocketAddress(ip, ClusterLayout.INTERNAL_PORT), query);
    }

    /** Asks until the answer contains what is sought, or for 25 s; gives the last answer. */
    public String askUntil(String ip, String query, String sought) {
        return askUntil(ip, query, answer -> answer.contains(sought));
    }

    /** Asks until the answer is as sought, or for 25 s; gives the last answer. */
    public String askUntil(String ip, String query, Predicate<String> sought) {
        var end = System.nanoTime() + QUERY_TIMEOUT_NS;
        var answer = ask(ip, query);
        while (!sought.test(answer) && System.nanoTime() < end) {
            answer = ask(ip, query);
        }
        return answer;
    }

    /** Asks as {@link #askUntil} does and fails where the answer never contains it. */
    public String assertShown(String ip, String query, String sought) {
        var answer = askUntil(ip, query, sought);
        if (!answer.contains(sought)) {
            throw new AssertionError(
                    ip + " does not show '" + sought + "' in '" + query + "': " + answer);
        }
        return answer;
    }

    @Override
    public void close() {
        heartbeats.close();
        frozen.values().forEach(CountDownLatch::countDown);
        List.copyOf(reactors.keySet()).forEach(this::kill);
        for (var replica : replicas) {
            try {
                replica.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
