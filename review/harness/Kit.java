package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment of the project's own programs on loopback addresses: one core daemon and some
 * edges in each of three zones, each a process that is started by the command of the deploy file.
 * Writes what happens to the record of the case.
 */
public final class Kit implements AutoCloseable {
    static final String[] ZONES = {"catania-hall-a", "palermo-hall-b", "trapani-hall-c"};
    static final String[] REGIONS = {"catania", "palermo", "trapani"};
    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_CANNOT_RUN = 2;

    private final Path folder;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final String network;
    private final int basePort;
    private final Map<String, String> commands = new TreeMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    final List<String> cores = new ArrayList<>();
    final List<String> edges = new ArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** What a case does with its deployment; gives the exit code. */
    interface Case {
        int run(Kit kit) throws Exception;
    }

    /** Runs a case and ends the process with its exit code. */
    static void runCase(String caseFolder, Case body) {
        var code = EXIT_CANNOT_RUN;
        try (var kit = new Kit(caseFolder)) {
            try {
                code = body.run(kit);
            } catch (Exception e) {
                kit.note("the case could not run: " + e);
            }
            kit.note("exit " + code);
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    Kit(String caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        folder = Files.createTempDirectory("review");
        var random = new java.util.Random();
        network = "127." + (20 + random.nextInt(200)) + ".";
        basePort = freeBase(random);
        readCommands();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("case in " + Path.of(caseFolder).getFileName() + ", trouble " + trouble);
    }

    private int freeBase(java.util.Random random) throws IOException {
        for (var i = 0; i < 50; i++) {
            var base = 20000 + random.nextInt(9000);
            try (var a = new ServerSocket();
                    var b = new ServerSocket()) {
                a.bind(new InetSocketAddress(InetAddress.getByName(network + "1.1"), base));
                b.bind(new InetSocketAddress(InetAddress.getByName(network + "1.1"), base + 1));
                return base;
            } catch (IOException e) {
                // Taken: the next one.
            }
        }
        throw new IOException("no free port");
    }

    private void readCommands() throws IOException {
        var role = "";
        for (var line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = ")) {
                commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
            }
        }
    }

    // ---- the record

    synchronized void note(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, line);
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- addresses

    int controlPort() {
        return basePort + 16;
    }

    int frontPort() {
        return basePort + 18;
    }

    int readyPort() {
        return basePort + 19;
    }

    String replicaIp(int zone, int number) {
        return network + (zone + 1) + "." + (100 + number);
    }

    String clientIp(int zone) {
        return network + (zone + 1) + ".200";
    }

    // ---- daemons

    /** Starts a core daemon in each zone and so many edges in each zone. */
    void start(int edgesPerZone) throws IOException {
        for (var zone = 0; zone < ZONES.length; zone++) {
            cores.add(network + (zone + 1) + ".13");
        }
        for (var zone = 0; zone < ZONES.length; zone++) {
            startCore(zone, true);
        }
        for (var zone = 0; zone < ZONES.length; zone++) {
            for (var i = 0; i < edgesPerZone; i++) {
                edges.add(network + (zone + 1) + "." + (20 + i));
                startEdge(edges.size() - 1);
            }
        }
    }

    int zoneOf(String ip) {
        return Integer.parseInt(ip.split("\\.")[2]) - 1;
    }

    void startCore(int number, boolean bootstrap) throws IOException {
        var ip = cores.get(number);
        var data = folder.resolve("data-" + ip);
        Files.createDirectories(data);
        run(
                "core",
                ip,
                common(ip, "core", bootstrap)
                        + "QuorumMember = true\nServes = [\"control_plane\",\"registry\"]\n"
                        + "DataDirectory = \"" + data + "\"\n"
                        + zones()
                        + "[ListenAddresses]\nControlPlane = \"" + ip + ":" + controlPort() + "\"\n"
                        + "Directory = \"" + ip + ":" + (basePort + 17) + "\"\n"
                        + "[Limits]\nCpuShare = 0.45\nCpuCores = 1\nMemoryMb = 426\n"
                        + "MaxFileDescriptors = 4096\nLinkMbps = 1000.0\nDiskMb = 128\n"
                        + bounds());
    }

    void startEdge(int number) throws IOException {
        var ip = edges.get(number);
        run(
                "edge",
                ip,
                common(ip, "edge", true)
                        + "QuorumMember = false\nServes = [\"edge\"]\n"
                        + zones()
                        + "[ListenAddresses]\nFrontend = \"" + ip + ":" + frontPort() + "\"\n"
                        + "Readiness = \"" + ip + ":" + readyPort() + "\"\n"
                        + "[Limits]\nCpuShare = 0.75\nCpuCores = 1\nMemoryMb = 430\n"
                        + "MaxFileDescriptors = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
                        + bounds());
    }

    private String common(String ip, String role, boolean bootstrap) {
        var zone = zoneOf(ip);
        var seeds = new ArrayList<String>();
        cores.forEach(core -> seeds.add("\"" + core + ":" + controlPort() + "\""));
        return "NodeName = \"" + role + "-" + ip + "\"\nRole = \"" + role + "\"\nMachineClass = \""
                + role + "\"\nIpAddress = \"" + ip + "\"\nZone = \"" + ZONES[zone]
                + "\"\nRegion = \"" + REGIONS[zone] + "\"\nInternalPortRange = [" + basePort + ","
                + (basePort + 15) + "]\nSeedNodes = [" + String.join(",", seeds)
                + "]\nBootstrap = " + bootstrap + "\nDiscovery = \"registration\"\n"
                + "EntryPoint = \"registry\"\nHeartbeatIntervalMs = 1200\n"
                + "Guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                + "\"engine\",\"stream\",\"places\"]\n";
    }

    private static String zones() {
        var text = new StringBuilder("[Zones]\n");
        for (var i = 0; i < ZONES.length; i++) {
            text.append(ZONES[i]).append(" = \"").append(REGIONS[i]).append("\"\n");
        }
        return text.toString();
    }

    private static String bounds() {
        return "[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 1\n"
                + "[Bounds]\nSeedLagS = 3\nAddressReuseS = 2\nContactMs = 4000\nAckTimeoutMs = 5000\n"
                + "CatchUpS = 4\nDrainMs = 2500\nGracePeriodS = 8\nLossSlackMs = 200\n"
                + "ConfigApplyMs = 2500\nRevertSlackMs = 250\nMaxStretchMs = 6000\n"
                + "RetryBudgetRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 58\nWarmupOverage = 1.5\n"
                + "WarmupSlack = 5\nEvacuationMs = 5000\nRecoveryS = 12\nStepMs = 250\nttl_max_s = 5\n";
    }

    private void run(String role, String ip, String settings) throws IOException {
        var file = folder.resolve("settings-" + ip + ".toml");
        Files.writeString(file, settings);
        var builder = new ProcessBuilder(commands.get(role).split(" "));
        var environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("MARTENLOOM_NODE_FILE", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("out-" + ip).toFile()));
        processes.put(ip, builder.start());
        note("start " + role + " " + ip + " pid " + processes.get(ip).pid());
    }

    Process process(String ip) {
        return processes.get(ip);
    }

    /** Sends a signal to a daemon that this kit has started. */
    void signal(String ip, String name) throws IOException {
        note("signal " + name + " to " + ip);
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(processes.get(ip).pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills a daemon and returns when it has ended. */
    void kill(String ip) {
        note("SIGKILL to " + ip);
        try {
            processes.get(ip).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The last lines that a daemon has printed. */
    String printed(String ip, int lines) throws IOException {
        var all = Files.readAllLines(folder.resolve("out-" + ip));
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }

    void notePrinted(String ip, int lines) throws IOException {
        note("printed by " + ip + ":\n" + printed(ip, lines));
    }

    /** Waits until all edges answer their readiness check with 200. */
    boolean awaitReady(long timeoutMs) {
        var end = System.nanoTime() + timeoutMs * 1_000_000;
        for (var edge : edges) {
            var status = 0;
            while (status != 200) {
                if (System.nanoTime() > end) {
                    note("edge " + edge + " is not ready");
                    return false;
                }
                status = Http.get(edge, readyPort(), "/readyz", 1000).status;
                if (status != 200) {
                    pause(100);
                }
            }
        }
        note("all edges are ready");
        return true;
    }

    // ---- the operator

    /** Sends a call to core daemons in turn until it has a clear answer; gives the last answer. */
    Http.Reply operate(String method, String path, String more, String body, long timeoutMs) {
        var end = System.nanoTime() + timeoutMs * 1_000_000;
        var turn = 0;
        var pauseMs = 100;
        Http.Reply reply;
        do {
            var core = cores.get(turn++ % cores.size());
            reply = Http.call(core, controlPort(), method, path, more, body, 1000);
            if (reply.status != 0 && reply.status != 408 && reply.status != 429
                    && reply.status < 500) {
                return reply;
            }
            pause(pauseMs);
            pauseMs = Math.min(500, pauseMs * 3 / 2);
        } while (System.nanoTime() < end);
        return reply;
    }

    int configure(int base, String json, long timeoutMs) {
        var reply =
                operate(
                        "POST",
                        "/configuration/replace",
                        "X-Base-Revision: " + base + "\r\nContent-Type: application/json\r\n",
                        json,
                        timeoutMs);
        note("configuration on base " + base + ": " + reply.status + " "
                + reply.text().lines().findFirst().orElse(""));
        return reply.status;
    }

    // ---- the end

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
        for (var process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            record.println("the folder is not removed: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.close();
    }
}
