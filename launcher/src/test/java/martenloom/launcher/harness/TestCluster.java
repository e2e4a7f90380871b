package martenloom.launcher.harness;

import io.activej.eventloop.Eventloop;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.error.StorageException;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.core.storage.StorageFolder;
import martenloom.edge.EdgeDaemon;
import martenloom.shell.Shell;

/**
 * Whole programs over loopback: core daemons and edges, each on a reactor of its own and at a
 * loopback address of its own, with stand-in replicas. Waiting is for signals: an edge's readiness,
 * an answer, a state that a query shows.
 */
public final class TestCluster implements Closeable {
    private static final int PORT = PortBlock.port(17720);
    private static final int CUT_OFF_PORT = PortBlock.port(17820);
    private static final int CONTROL = PortBlock.port(18166);
    private static final int FRONT = PortBlock.port(18161);
    public static final int READY = PortBlock.port(18167);
    private static final List<String> ZONES = List.of("north-a", "south-b", "west-c");

    private final Path dir;
    private final int net;
    private final List<String> seeds;
    private final Map<String, Eventloop> loops = new ConcurrentSkipListMap<>();
    private final Map<String, Thread> threads = new ConcurrentSkipListMap<>();
    private final Map<String, Disk> disks = new ConcurrentHashMap<>();
    private final Map<Integer, Settings> edgeSettings = new ConcurrentHashMap<>();
    private final Map<String, CoreDaemon> cores = new ConcurrentHashMap<>();
    private final Map<String, EdgeDaemon> edges = new TreeMap<>();
    public final List<StandInReplica> replicas = new ArrayList<>();
    private final ScheduledExecutorService beats =
            Executors.newScheduledThreadPool(
                    2,
                    r -> {
                        var t = new Thread(r, "beats");
                        t.setDaemon(true);
                        return t;
                    });
    private final Set<String> mute = ConcurrentHashMap.newKeySet();
    public final Map<String, Integer> warmLeft = new ConcurrentHashMap<>();

    private ScalingSettings scaling = ScalingSettings.DEFAULT;
    private final Map<String, CountDownLatch> frozen = new ConcurrentHashMap<>();

    /** Core daemons whose disk refuses every write. */
    public final Set<Integer> fullDisks = ConcurrentHashMap.newKeySet();

    public TestCluster scaling(String words) {
        scaling = ScalingSettings.parse(words);
        return this;
    }

    /** A program that says nothing any more while its sockets stay open, as behind a silent cut. */
    public void freeze(String ip) {
        var l = new CountDownLatch(1);
        frozen.put(ip, l);
        var stopped = new CompletableFuture<Boolean>();
        loops.get(ip)
                .execute(
                        () -> {
                            stopped.complete(true);
                            try {
                                l.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        stopped.join();
    }

    public void thaw(String ip) {
        frozen.remove(ip).countDown();
    }

    /**
     * The disk of one life of a core daemon: once that life is killed, nothing of it writes on,
     * whatever was under way.
     */
    private static final class Disk {
        private final StorageFolder real;
        private boolean out;

        Disk(String path) {
            real = new FileSystemFolder(path);
        }

        synchronized void pull() {
            out = true;
        }

        private synchronized Optional<Object> call(java.lang.reflect.Method m, Object[] a)
                throws Throwable {
            try {
                return out ? Optional.empty() : Optional.of(Optional.ofNullable(m.invoke(real, a)));
            } catch (java.lang.reflect.InvocationTargetException e) {
                throw e.getCause();
            }
        }

        Object use(java.lang.reflect.Method m, Object[] a) throws Throwable {
            var r = call(m, a);
            if (r.isEmpty()) {
                new CountDownLatch(1).await();
            }
            return ((Optional<?>) r.orElseThrow()).orElse(null);
        }
    }

    private StorageFolder folder(int i, String path) {
        var d = new Disk(path);
        disks.put(core(i), d);
        return (StorageFolder)
                java.lang.reflect.Proxy.newProxyInstance(
                        StorageFolder.class.getClassLoader(),
                        new Class<?>[] {StorageFolder.class},
                        (x, m, a) -> {
                            if (m.getName().equals("writeSynced") && fullDisks.contains(i)) {
                                throw new StorageException("write", "no space left");
                            }
                            return d.use(m, a);
                        });
    }

    public TestCluster(Path dir, int net, int cores) {
        this.dir = dir;
        this.net = net;
        seeds =
                IntStream.range(0, Math.min(3, cores))
                        .mapToObj(i -> core(i) + ":" + CONTROL)
                        .toList();
        for (var i = 0; i < cores; i++) {
            startCore(i, true);
        }
        beats.scheduleWithFixedDelay(this::beatAll, 0, 300, TimeUnit.MILLISECONDS);
    }

    public String core(int i) {
        return "127." + net + ".1." + (10 + i);
    }

    public String edge(int i) {
        return "127." + net + ".2." + (10 + i);
    }

    public String control(int i) {
        return core(i) + ":" + CONTROL;
    }

    public String front(int i) {
        return edge(i) + ":" + FRONT;
    }

    private Settings settings(String ip, int i, String role, boolean bootstrap) {
        return settings(ip, i, role, bootstrap, PORT);
    }

    private Settings settings(String ip, int i, String role, boolean bootstrap, int port) {
        return SettingsFile.parse(settingsText(ip, i, role, bootstrap, port));
    }

    private String settingsText(String ip, int i, String role, boolean bootstrap, int port) {
        var zone = ZONES.get(i % 3);
        var l =
                role.equals("core")
                        ? "ControlPlane = \"" + ip + ":" + CONTROL + "\"\n"
                        : "Frontend = \""
                                + ip
                                + ":"
                                + FRONT
                                + "\"\nReadiness = \""
                                + ip
                                + ":"
                                + READY
                                + "\"\n";
        return "NodeName = \""
                + role
                + i
                + "\"\nIpAddress = \""
                + ip
                + "\"\nZone = \""
                + zone
                + "\"\nRegion = \""
                + zone.split("-")[0]
                + "\"\n"
                + "InternalPortRange = ["
                + port
                + ","
                + (port + 10)
                + "]\nSeedNodes = ["
                + seeds.stream().map(s -> '"' + s + '"').collect(Collectors.joining(","))
                + "]\n"
                + "Bootstrap = "
                + bootstrap
                + "\nQuorumMember = "
                + role.equals("core")
                + "\nDataDirectory = \""
                + dir.resolve(role + i)
                + "\"\nHeartbeatIntervalMs = 300\n"
                + "Serves = [\""
                + role
                + "\"]\n[Zones]\n"
                + ZONES.stream()
                        .map(h -> h + " = \"" + h.split("-")[0] + "\"\n")
                        .collect(Collectors.joining())
                + "[ListenAddresses]\n"
                + l
                + "[Limits]\n"
                + "MaxFileDescriptors = 2000\n"
                + "[Bounds]\n"
                + "GracePeriodS = 5\n"
                + "RetrySlack = 50\n"
                + "RetryBudgetRatio = 0.2\n"
                + "WarmupOverage = 1.0\n"
                + "WarmupSlack = 0\n";
    }

    public void startCore(int i, boolean bootstrap) {
        var p = settings(core(i), i, "core", bootstrap);
        run(
                core(i),
                loop -> {
                    var c = new CoreDaemon(p, loop, folder(i, p.dataDirectory()));
                    c.start();
                    cores.put(core(i), c);
                });
    }

    /** As SIGTERM does: the daemon leaves, then its process ends; says whether it left in order. */
    public boolean leaveCore(int i) {
        var inOrder = cores.get(core(i)).leave();
        kill(core(i));
        return inOrder;
    }

    /**
     * Asks until the core daemons that are up tell of a chain and a roster of just these, and says
     * after how long.
     */
    public long awaitChain(int... which) {
        var since = System.nanoTime();
        var all = Arrays.stream(which).mapToObj(this::core).sorted().toList();
        for (var i : which) {
            var pattern =
                    java.util.regex.Pattern.compile("chain \\[([^]]*)\\].*\\nroster \\[([^]]*)\\]");
            var shown = "";
            while (System.nanoTime() - since < 25_000_000_000L) {
                shown = ask(core(i), "chain");
                var m = pattern.matcher(shown);
                if (m.find() && sorted(m.group(1)).equals(all) && sorted(m.group(2)).equals(all)) {
                    shown = "";
                    break;
                }
            }
            if (!shown.isEmpty()) {
                throw new AssertionError("not a chain of " + all + ": " + shown);
            }
        }
        return (System.nanoTime() - since) / 1_000_000;
    }

    private static List<String> sorted(String list) {
        return Arrays.stream(list.split(", ")).sorted().toList();
    }

    /**
     * Starts a core daemon that is cut off from every other daemon, both ways, because its internal
     * port is not theirs; replicas and the operator still reach it.
     */
    public void startCoreCutOff(int i) {
        var p = settings(core(i), i, "core", false, CUT_OFF_PORT);
        run(core(i), loop -> new CoreDaemon(p, loop, folder(i, p.dataDirectory())).start());
    }

    /** The text of an edge's settings file. */
    public String settingsText(int edge) {
        return settingsText(edge(edge), edge, "edge", false, PORT);
    }

    /** The settings that a started edge uses. */
    public Settings settings(int edge) {
        return edgeSettings.get(edge);
    }

    public EdgeDaemon startEdge(int i) {
        var p = settings(edge(i), i, "edge", false);
        edgeSettings.put(i, p);
        var up = new CompletableFuture<EdgeDaemon>();
        run(
                edge(i),
                loop -> {
                    var n = new EdgeDaemon(p, loop, scaling);
                    n.start();
                    up.complete(n);
                });
        edges.put(edge(i), up.join());
        return up.join();
    }

    @FunctionalInterface
    private interface Start {
        void run(Eventloop l) throws IOException;
    }

    private void run(String name, Start s) {
        var loop = Clocks.reactor(name);
        loop.keepAlive(true);
        var up = new CompletableFuture<Boolean>();
        loop.execute(
                () -> {
                    try {
                        s.run(loop);
                        up.complete(true);
                    } catch (IOException | RuntimeException e) {
                        up.completeExceptionally(e);
                    }
                });
        var t = new Thread(loop::run, name);
        t.setDaemon(true);
        t.start();
        up.join();
        loops.put(name, loop);
        threads.put(name, t);
    }

    /**
     * Ends a program as a kill would: its sockets close, its thread has ended and its disk is no
     * longer written.
     */
    public void kill(String ip) {
        var loop = loops.remove(ip);
        var down = new CompletableFuture<Boolean>();
        loop.execute(
                () -> {
                    for (var k : List.copyOf(loop.getSelector().keys())) {
                        try {
                            k.channel().close();
                        } catch (IOException e) {
                            continue;
                        }
                    }
                    loop.keepAlive(false);
                    loop.breakEventloop();
                    down.complete(true);
                });
        down.join();
        try {
            threads.remove(ip).join(10_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Optional.ofNullable(disks.remove(ip)).ifPresent(Disk::pull);
    }

    public void wipe(int i) {
        try (var s = Files.walk(dir.resolve("core" + i))) {
            s.filter(Files::isRegularFile).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public StandInReplica replica(String id, String service, int zone) {
        try {
            var r =
                    new StandInReplica(
                            id,
                            service,
                            ZONES.get(zone),
                            "127." + net + ".3." + (10 + replicas.size()));
            replicas.add(r);
            return r;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void beatAll() {
        for (var r : List.copyOf(replicas)) {
            if (!mute.contains(r.id)) {
                beat(r, "ready", warmLeft.getOrDefault(r.id, 0));
            }
        }
    }

    public void mute(StandInReplica r) {
        mute.add(r.id);
    }

    public void unmute(StandInReplica r) {
        mute.remove(r.id);
    }

    public int beat(StandInReplica r, String state, int warmLeftMs) {
        for (var ip : List.copyOf(loops.keySet())) {
            if (ip.contains(".1.")) {
                var x =
                        TestHttpClient.call(
                                ip + ":" + CONTROL,
                                "POST /instances/"
                                        + r.id
                                        + "/heartbeat HTTP/1.1\r\nHost: c\r\nConnection: close\r\n",
                                r.beat(state, warmLeftMs));
                if (x.status == 200) {
                    return 200;
                }
            }
        }
        return 0;
    }

    public TestHttpClient.Reply operator(int core, String call, String base, String body) {
        return TestHttpClient.call(
                control(core),
                call
                        + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
                        + (base.isEmpty() ? "" : "X-Base-Revision: " + base + "\r\n"),
                body);
    }

    /**
     * As the operator does: the same order again, at one daemon after another, until there is a
     * clear answer.
     */
    public int order(String call, String base, String body) {
        for (var i = 0; i < 200; i++) {
            var r =
                    operator(
                            i
                                    % Math.max(
                                            1,
                                            (int)
                                                    loops.keySet().stream()
                                                            .filter(x -> x.contains(".1."))
                                                            .count()),
                            call,
                            base,
                            body);
            if (r.status == 200 || r.status / 100 == 4) {
                return r.status;
            }
        }
        return 0;
    }

    public void awaitReady(int... which) {
        for (var i : which) {
            edges.get(edge(i)).whenReady().orTimeout(30, TimeUnit.SECONDS).join();
        }
    }

    public TestHttpClient.Reply request(
            int edge, String path, String attempt, String more, String body) {
        return TestHttpClient.call(
                front(edge),
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: "
                        + attempt
                        + "\r\nX-Time-Remaining: 8000\r\nConnection: close\r\n"
                        + more,
                body);
    }

    /**
     * What the platform's own question about readiness gets from an edge; 0 where nobody answers.
     */
    public int readiness(int edge) {
        return TestHttpClient.call(
                        edge(edge) + ":" + READY,
                        "GET /readyz HTTP/1.1\r\nHost: c\r\nConnection: close\r\n",
                        "")
                .status;
    }

    public String ask(String ip, String query) {
        return Shell.ask(new InetSocketAddress(ip, PORT), query);
    }

    /** Asks until the answer shows what is looked for; gives up after many asks. */
    public String askUntil(String ip, String query, String sought) {
        return askUntil(ip, query, a -> a.contains(sought));
    }

    public String askUntil(String ip, String query, Predicate<String> sought) {
        var end = System.nanoTime() + 25_000_000_000L;
        var a = ask(ip, query);
        while (!sought.test(a) && System.nanoTime() < end) {
            a = ask(ip, query);
        }
        return a;
    }

    public static String configuration(int rev, String extraRoutes) {
        return "{\"Revision\":"
                + rev
                + ",\"Routes\":["
                + route("safe", "/safe/", "idempotent", "plain", 3, false, "")
                + ","
                + route("once", "/once/", "non_idempotent", "plain", 1, false, "")
                + ","
                + route("streamr", "/r/", "streaming", "model", 2, true, "")
                + ","
                + route("streamo", "/o/", "streaming", "model", 1, false, "")
                + ","
                + route("home", "/home/", "idempotent", "plain", 2, false, "\"north\"")
                + extraRoutes
                + "],\"Backends\":[{\"Name\":\"plain\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":0,\"WarmupPerS\":0},"
                + "{\"Name\":\"model\",\"HealthPath\":\"/h\",\"MaxConnections\":60,\"WarmupS\":1.0,\"WarmupPerS\":8.0,\"InferenceEngine\":{\"Capacity\":8,\"CacheTokens\":100000,\"StepSize\":5,"
                + "\"Models\":[{\"Name\":\"m\"}]}}],\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":100000,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    public static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int tries,
            boolean resumable,
            String regions) {
        return route(name, prefix, kind, service, tries, resumable, regions, 8000);
    }

    public static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int tries,
            boolean resumable,
            String regions,
            int timeoutMs) {
        return "{\"Name\":\""
                + name
                + "\",\"Hostname\":\"cluster.example\",\"PathPrefix\":\""
                + prefix
                + "\",\"RouteType\":\""
                + kind
                + "\",\"TimeoutMs\":"
                + timeoutMs
                + ",\"TargetLatencyMs\":2000,"
                + "\"Priority\":0,\"Backend\":\""
                + service
                + "\",\"MaxAttempts\":"
                + tries
                + ",\"SessionAffinity\":false,\"Resumable\":"
                + resumable
                + ",\"TargetGapMs\":800,\"AllowedRegions\":["
                + regions
                + "]}";
    }

    @Override
    public void close() {
        beats.shutdownNow();
        frozen.values().forEach(CountDownLatch::countDown);
        List.copyOf(loops.keySet()).forEach(this::kill);
        replicas.forEach(
                r -> {
                    try {
                        r.close();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }
}
