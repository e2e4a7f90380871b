package martenloom.launcher.rig;

import io.activej.eventloop.Eventloop;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import martenloom.common.clock.Clocks;
import martenloom.common.error.ErrorCode;
import martenloom.common.error.LinkException;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.UsageException;
import martenloom.common.link.LinkTraffic;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.CoreDaemon;
import martenloom.core.storage.FileSystemFolder;
import martenloom.edge.EdgeDaemon;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * A measurement, not a test: real core daemons with real files, and hollow edges - the real edge
 * program over real loopback sockets, without clients - that share a few reactor threads, before
 * hollow replicas that only beat. It prints one line for each size: records and bytes by role,
 * processor time by role, heap, and how long a change of configuration takes until it is in force
 * at every edge. It starts nothing outside its own process and stops by itself.
 */
public final class Rig {
    private static final String USAGE =
            "rig --edges N[,N...] [--cores N] [--replicas N] [--zones N] [--regions N] [--models N]"
                + " [--routes N] [--seconds N] [--changes N] [--pace MS] [--joins N] [--repeats N]";
    private static final int PORT = 27720;
    private static final int CONTROL = 28166;
    private static final int EDGE_THREADS = 4;

    /** What one run is made of. */
    record Size(
            int edges,
            int cores,
            int replicas,
            int zones,
            int regions,
            int models,
            int routes,
            int seconds,
            int changes,
            int pace,
            int joins) {}

    /** What one run showed; rates are for one daemon of the role and one second. */
    static final class Seen {
        int readyEdges;
        long replicasKnown;
        int edgesHeard;
        double coreRecords;
        double coreBytes;
        double coreCpu;
        double headCpu;
        double edgeRecords;
        double edgeBytes;
        double edgeCpu;
        double heapMb;
        double configurationBytes;

        /** The kinds of records that core daemons send most, as number:records a second. */
        String coreKinds = "";

        List<Long> changeMs = new ArrayList<>();
    }

    private final Size z;
    private final int net;
    private final Path dir;
    private final List<Eventloop> loops = new ArrayList<>();
    private final List<Long> coreThreads = new ArrayList<>();
    private final List<Long> edgeThreads = new ArrayList<>();
    private final List<EdgeDaemon> edges = new ArrayList<>();
    private final List<Long> pacedMs = new ArrayList<>();
    private List<Eventloop> edgeLoops = List.of();
    private int revision;
    private final AtomicBoolean over = new AtomicBoolean();
    private final List<Thread> beaters = new ArrayList<>();

    private Rig(Size z, int net) throws IOException {
        this.z = z;
        this.net = net;
        dir = Files.createTempDirectory("rig");
    }

    public static void main(String[] a) {
        System.exit(run(a));
    }

    static int run(String[] a) {
        try {
            var sizes = read(a);
            System.out.println(head());
            var net = 100;
            for (var z : sizes) {
                System.out.println(line(z, measure(z, net++)));
            }
            return 0;
        } catch (MartenloomException f) {
            System.err.println("rig: " + f.getMessage());
            return f.code() == ErrorCode.USAGE ? 2 : 1;
        } catch (IOException | InterruptedException e) {
            System.err.println("rig: " + e);
            return 1;
        }
    }

    private static MartenloomException bad(String why) {
        return new UsageException("read command line", why + " (" + USAGE + ")");
    }

    static List<Size> read(String[] a) {
        var o = new Options();
        for (var n :
                List.of(
                        "edges",
                        "cores",
                        "replicas",
                        "zones",
                        "regions",
                        "models",
                        "routes",
                        "seconds",
                        "changes",
                        "pace",
                        "joins",
                        "repeats")) {
            o.addOption(null, n, true, n);
        }
        CommandLine c;
        try {
            c = new DefaultParser().parse(o, a);
        } catch (ParseException e) {
            throw bad(e.getMessage());
        }
        if (!c.getArgList().isEmpty() || !c.hasOption("edges")) {
            throw bad(
                    c.hasOption("edges")
                            ? "'" + c.getArgList().get(0) + "' is not expected"
                            : "--edges is missing");
        }
        var l = new ArrayList<Size>();
        for (var w : c.getOptionValue("edges").split(",")) {
            var e = number("--edges", w, 1, 400);
            var z =
                    new Size(
                            e,
                            of(c, "cores", 8, 3, 16),
                            of(c, "replicas", Math.max(1, 2900 * e / 390), 1, 4000),
                            of(c, "zones", Math.max(3, 71 * e / 390), 1, 100),
                            of(c, "regions", Math.max(3, 26 * e / 390), 1, 40),
                            of(c, "models", Math.max(1, 12 * e / 390), 1, 20),
                            of(c, "routes", 40, 1, 5000),
                            of(c, "seconds", 10, 1, 120),
                            of(c, "changes", 5, 0, 100),
                            of(c, "pace", 0, 0, 60_000),
                            of(c, "joins", 0, 0, 100));
            for (var i = 0; i < of(c, "repeats", 1, 1, 20); i++) {
                l.add(z);
            }
        }
        return l;
    }

    private static int of(CommandLine c, String n, int d, int least, int most) {
        return c.hasOption(n) ? number("--" + n, c.getOptionValue(n), least, most) : d;
    }

    private static int number(String what, String w, int least, int most) {
        try {
            var n = Integer.parseInt(w);
            if (n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw bad(what + ": '" + w + "' is not a whole number");
        }
        throw bad(what + ": " + w + " is not from " + least + " to " + most);
    }

    private static String head() {
        return "edges cores replicas zones regions models routes pace joins | ready known heard |"
                + " core: records/s KB/s cpu% head-cpu% | edge: records/s KB/s cpu% | heap MB |"
                + " configuration KB | change ms (median, worst) | core kinds (record:a second)";
    }

    private static String line(Size z, Seen s) {
        var l = s.changeMs.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "%d %d %d %d %d %d %d %d %d | %d %d %d | %.0f %.1f %.2f %.2f | %.1f %.2f %.3f |"
                        + " %.0f | %.1f | %s | %s",
                z.edges,
                z.cores,
                z.replicas,
                z.zones,
                z.regions,
                z.models,
                z.routes,
                z.pace,
                z.joins,
                s.readyEdges,
                s.replicasKnown,
                s.edgesHeard,
                s.coreRecords,
                s.coreBytes / 1000,
                s.coreCpu * 100,
                s.headCpu * 100,
                s.edgeRecords,
                s.edgeBytes / 1000,
                s.edgeCpu * 100,
                s.heapMb,
                s.configurationBytes / 1000,
                l.isEmpty() ? "-" : l.get(l.size() / 2) + ", " + l.get(l.size() - 1),
                s.coreKinds);
    }

    static Seen measure(Size z, int net) throws IOException, InterruptedException {
        var r = new Rig(z, net);
        try {
            return r.play();
        } finally {
            r.close();
        }
    }

    // ---- the cluster

    private String core(int i) {
        return "127." + net + ".1." + (10 + i);
    }

    private String edge(int i) {
        return "127." + net + "." + (2 + i / 200) + "." + (10 + i % 200);
    }

    private String zone(int i) {
        return "h" + i % z.zones;
    }

    private String region(int h) {
        return "g" + h % z.regions;
    }

    private Settings settings(String ip, int i, boolean isCore) {
        var seeds =
                IntStream.range(0, 3)
                        .mapToObj(k -> '"' + core(k) + ":" + CONTROL + '"')
                        .collect(Collectors.joining(","));
        var listen =
                isCore
                        ? "ControlPlane = \"" + ip + ":" + CONTROL + "\"\n"
                        : "Frontend = \"" + ip + ":28161\"\nReadiness = \"" + ip + ":28167\"\n";
        var zones =
                IntStream.range(0, z.zones)
                        .mapToObj(h -> "h" + h + " = \"" + region(h) + "\"\n")
                        .collect(Collectors.joining());
        return SettingsFile.parse(
                "NodeName = \""
                        + (isCore ? "core" : "edge")
                        + i
                        + "\"\nIpAddress = \""
                        + ip
                        + "\"\nZone = \""
                        + zone(i)
                        + "\"\nRegion = \""
                        + region(i % z.zones)
                        + "\"\nInternalPortRange = ["
                        + PORT
                        + ","
                        + (PORT + 9)
                        + "]\nSeedNodes = ["
                        + seeds
                        + "]\nBootstrap = true\nDataDirectory = \""
                        + dir.resolve("c" + i)
                        + "\"\nHeartbeatIntervalMs = 1200\nServes = []\n[Zones]\n"
                        + zones
                        + "[ListenAddresses]\n"
                        + listen
                        + "[Limits]\nMaxFileDescriptors = 2000\n[Bounds]\nRetrySlack = 194\n");
    }

    private Eventloop loop(String name, List<Long> threads) {
        var l = Clocks.reactor(name);
        l.keepAlive(true);
        var t = new Thread(l::run, name);
        t.setDaemon(true);
        t.start();
        threads.add(t.getId());
        loops.add(l);
        return l;
    }

    @FunctionalInterface
    private interface Start {
        void run() throws IOException;
    }

    private static void on(Eventloop l, Start s) {
        var f = new CompletableFuture<Boolean>();
        l.execute(
                () -> {
                    try {
                        s.run();
                        f.complete(true);
                    } catch (IOException | RuntimeException e) {
                        f.completeExceptionally(e);
                    }
                });
        f.join();
    }

    private String configuration(int rev) {
        var b = new StringBuilder("{\"Revision\":" + rev + ",\"Routes\":[");
        for (var i = 0; i < z.routes; i++) {
            b.append(i == 0 ? "" : ",")
                    .append("{\"Name\":\"r")
                    .append(i)
                    .append("\",\"Hostname\":\"t")
                    .append(i)
                    .append(
                            ".example\",\"PathPrefix\":\"/p/\",\"RouteType\":\"streaming\",\"TimeoutMs\":")
                    .append(5000 + rev)
                    .append(",\"TargetLatencyMs\":800,\"Priority\":1,\"Backend\":\"s")
                    .append(i % z.models)
                    .append(
                            "\",\"MaxAttempts\":2,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":600,\"AllowedRegions\":[")
                    .append(i % 3 == 0 ? "\"" + region(i) + "\"" : "")
                    .append("]}");
        }
        b.append("],\"Backends\":[");
        for (var i = 0; i < z.models; i++) {
            b.append(i == 0 ? "" : ",")
                    .append("{\"Name\":\"s")
                    .append(i)
                    .append(
                            "\",\"HealthPath\":\"/h\",\"MaxConnections\":600,\"WarmupS\":3,\"WarmupPerS\":27,\"InferenceEngine\":{\"Capacity\":32,\"CacheTokens\":400000,"
                                + "\"Models\":[{\"Name\":\"m")
                    .append(i)
                    .append("\"}]}}");
        }
        return b.append("]}").toString();
    }

    private static final class Caller implements Closeable {
        private final Socket s = new Socket();
        private final InputStream in;

        Caller(String ip) throws IOException {
            s.connect(new InetSocketAddress(ip, CONTROL), 3000);
            s.setSoTimeout(10_000);
            s.setTcpNoDelay(true);
            in = new BufferedInputStream(s.getInputStream());
        }

        int call(String what, String more, String body) throws IOException {
            var b = body.getBytes(StandardCharsets.UTF_8);
            s.getOutputStream()
                    .write(
                            (what
                                            + " HTTP/1.1\r\nHost: c\r\n"
                                            + more
                                            + "Content-Length: "
                                            + b.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().write(b);
            var status = 0;
            var n = 0;
            for (var l = line(); !l.isEmpty(); l = line()) {
                status = l.startsWith("HTTP/1.1 ") ? Integer.parseInt(l.substring(9, 12)) : status;
                n =
                        l.toLowerCase(Locale.ROOT).startsWith("content-length:")
                                ? Integer.parseInt(l.substring(15).strip())
                                : n;
            }
            in.readNBytes(n);
            return status;
        }

        private String line() throws IOException {
            var b = new StringBuilder();
            for (var c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
                if (c != '\r') {
                    b.append((char) c);
                }
            }
            return b.toString();
        }

        @Override
        public void close() throws IOException {
            s.close();
        }
    }

    /**
     * Hollow replicas: every one beats every 1.2 s over a few kept connections, each at a core
     * daemon of its own.
     */
    private void beat(int part, int parts) {
        try (var c = new Caller(core(part % z.cores))) {
            for (var seq = 1; !over.get(); seq++) {
                var t0 = System.nanoTime();
                var mine = IntStream.range(0, z.replicas).filter(i -> i % parts == part).toArray();
                for (var k = 0; k < mine.length && !over.get(); k++) {
                    var i = mine[k];
                    var due = t0 + 1_200_000_000L * k / mine.length;
                    java.util.concurrent.locks.LockSupport.parkNanos(due - System.nanoTime());
                    c.call(
                            "POST /instances/i-" + i + "/heartbeat",
                            "",
                            "{\"Backend\":\"s"
                                    + i % z.models
                                    + "\",\"Address\":\"127.0.0.1:"
                                    + (1000 + i)
                                    + "\",\"Zone\":\""
                                    + zone(i)
                                    + "\",\"Capacity\":32,"
                                    + "\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":"
                                    + seq
                                    + "}");
                }
                java.util.concurrent.locks.LockSupport.parkNanos(
                        t0 + 1_200_000_000L - System.nanoTime());
            }
        } catch (IOException e) {
            if (!over.get()) {
                System.err.println("rig: beats of part " + part + " ended: " + e.getMessage());
            }
        }
    }

    private Seen play() throws IOException, InterruptedException {
        for (var i = 0; i < z.cores; i++) {
            var p = settings(core(i), i, true);
            var l = loop("core-" + net + "-" + i, coreThreads);
            on(l, () -> new CoreDaemon(p, l, new FileSystemFolder(p.dataDirectory())).start());
        }
        var parts = Math.min(16, z.replicas);
        for (var i = 0; i < parts; i++) {
            var k = i;
            var t = new Thread(() -> beat(k, parts), "beats");
            t.setDaemon(true);
            t.start();
            beaters.add(t);
        }
        edgeLoops =
                IntStream.range(0, EDGE_THREADS)
                        .mapToObj(i -> loop("edges-" + net + "-" + i, edgeThreads))
                        .toList();
        for (var i = 0; i < z.edges; i++) {
            join(i);
        }
        change(0, ++revision);
        for (var e : edges) {
            e.whenReady().completeOnTimeout(false, 60, TimeUnit.SECONDS).join();
        }
        return look();
    }

    private void join(int i) {
        var p = settings(edge(i), i, false);
        var l = edgeLoops.get(i % EDGE_THREADS);
        on(
                l,
                () -> {
                    var n = new EdgeDaemon(p, l);
                    n.start();
                    edges.add(n);
                });
    }

    /**
     * What happens while it is looked at: changes of configuration at a pace, and edges that join
     * as replaced machines do.
     */
    private void stir(long untilNs) throws IOException, InterruptedException {
        var joined = 0;
        var t0 = System.nanoTime();
        var span = untilNs - t0;
        var due = t0;
        while (System.nanoTime() < untilNs) {
            if (joined < z.joins && System.nanoTime() - t0 >= span * joined / z.joins) {
                join(z.edges + joined++);
            }
            if (z.pace > 0 && System.nanoTime() >= due) {
                due += z.pace * 1_000_000L;
                pacedMs.add(change(revision, ++revision));
            }
            Thread.sleep(1);
        }
    }

    private long change(int base, int rev) throws IOException {
        var t0 = System.nanoTime();
        for (var i = 0; ; i++) {
            try (var c = new Caller(core(i % z.cores))) {
                var s =
                        c.call(
                                "POST /configuration/replace",
                                "X-Base-Revision: " + base + "\r\n",
                                configuration(rev));
                if (s == 200) {
                    break;
                }
            }
            if (i > 100) {
                throw new LinkException("change configuration", "not acknowledged");
            }
        }
        var end = System.nanoTime() + 20_000_000_000L;
        while (base > 0
                && edges.stream().anyMatch(e -> e.revision() < rev)
                && System.nanoTime() < end) {
            java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        }
        return (System.nanoTime() - t0) / 1_000_000;
    }

    private static double cpu(List<Long> threads) {
        var m = ManagementFactory.getThreadMXBean();
        return threads.stream().mapToLong(m::getThreadCpuTime).sum() / 1e9;
    }

    private double[] sent(String role, int n) {
        var r = 0.0;
        var b = 0.0;
        for (var i = 0; i < n; i++) {
            var t = LinkTraffic.ofThread(role + "-" + net + "-" + i);
            r += t.totalRecords();
            b += t.totalBytes();
        }
        return new double[] {r, b};
    }

    private Map<Integer, Long> coreKinds() {
        var m = new TreeMap<Integer, Long>();
        for (var i = 0; i < z.cores; i++) {
            LinkTraffic.ofThread("core-" + net + "-" + i)
                    .countsByType()
                    .forEach((k, v) -> m.merge(k, v.records(), Long::sum));
        }
        return m;
    }

    private Seen look() throws IOException, InterruptedException {
        var s = new Seen();
        Thread.sleep(4000);
        var m = ManagementFactory.getThreadMXBean();
        var c0 = cpu(coreThreads);
        var e0 = cpu(edgeThreads);
        var each0 = coreThreads.stream().map(m::getThreadCpuTime).toList();
        var cs = sent("core", z.cores);
        var k0 = coreKinds();
        var es = sent("edges", EDGE_THREADS);
        var t0 = System.nanoTime();
        stir(t0 + z.seconds * 1_000_000_000L);
        var sec = (System.nanoTime() - t0) / 1e9;
        s.coreCpu = (cpu(coreThreads) - c0) / sec / z.cores;
        s.edgeCpu = (cpu(edgeThreads) - e0) / sec / z.edges;
        for (var i = 0; i < z.cores; i++) {
            s.headCpu =
                    Math.max(
                            s.headCpu,
                            (m.getThreadCpuTime(coreThreads.get(i)) - each0.get(i)) / 1e9 / sec);
        }
        var ce = sent("core", z.cores);
        var k1 = coreKinds();
        s.coreKinds =
                k1.entrySet().stream()
                        .sorted(
                                Comparator.comparingLong(
                                        (Map.Entry<Integer, Long> e) ->
                                                k0.getOrDefault(e.getKey(), 0L) - e.getValue()))
                        .limit(5)
                        .map(
                                e ->
                                        e.getKey()
                                                + ":"
                                                + Math.round(
                                                        (e.getValue()
                                                                        - k0.getOrDefault(
                                                                                e.getKey(), 0L))
                                                                / sec
                                                                / z.cores))
                        .collect(Collectors.joining(" "));
        var ee = sent("edges", EDGE_THREADS);
        s.coreRecords = (ce[0] - cs[0]) / sec / z.cores;
        s.coreBytes = (ce[1] - cs[1]) / sec / z.cores;
        s.edgeRecords = (ee[0] - es[0]) / sec / z.edges;
        s.edgeBytes = (ee[1] - es[1]) / sec / z.edges;
        s.configurationBytes = configuration(2).length();
        s.changeMs.addAll(pacedMs);
        for (var i = 0; i < z.changes; i++) {
            s.changeMs.add(change(revision, ++revision));
        }
        for (var e : edges) {
            e.whenReady().completeOnTimeout(false, 20, TimeUnit.SECONDS).join();
        }
        var end = System.nanoTime() + 10_000_000_000L;
        while (edges.stream().anyMatch(e -> e.edgesHeard() < edges.size())
                && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        s.readyEdges = (int) edges.stream().filter(e -> e.whenReady().getNow(false)).count();
        s.replicasKnown =
                edges.stream().mapToLong(e -> e.replicaTable().all().size()).min().orElse(0);
        s.edgesHeard = edges.stream().mapToInt(EdgeDaemon::edgesHeard).min().orElse(0);
        System.gc();
        s.heapMb = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1e6;
        return s;
    }

    private void close() throws IOException {
        over.set(true);
        for (var l : loops) {
            var down = new CompletableFuture<Boolean>();
            l.execute(
                    () -> {
                        for (var k : List.copyOf(l.getSelector().keys())) {
                            try {
                                k.channel().close();
                            } catch (IOException e) {
                                continue;
                            }
                        }
                        l.keepAlive(false);
                        l.breakEventloop();
                        down.complete(true);
                    });
            down.join();
        }
        try (var s = Files.walk(dir)) {
            s.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
