package martenloom.launcher.harness;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/** The settings files of a test cluster's daemons. Immutable. */
final class ClusterSettings {
    private static final int MOST_SEEDS = 3;
    private static final int MORE_INTERNAL_PORTS = 10;
    private static final int HEARTBEAT_INTERVAL_MS = 300;
    private static final int CORE_MEMORY_MB = 512;
    private static final int MAX_FILE_DESCRIPTORS = 2000;
    private static final int GRACE_PERIOD_S = 5;
    private static final int RETRY_SLACK = 50;
    private static final double RETRY_BUDGET_RATIO = 0.2;

    private final ClusterLayout layout;
    private final Path dir;
    private final List<String> seeds;
    private final int coreMemoryMb;
    private final int edgeMemoryMb;
    private final int maxFileDescriptors;

    ClusterSettings(ClusterLayout layout, Path dir, int cores, int edgeMemoryMb) {
        this(layout, dir, cores, CORE_MEMORY_MB, edgeMemoryMb, MAX_FILE_DESCRIPTORS);
    }

    /** The settings of daemons that are all limited alike. */
    ClusterSettings(ClusterLayout layout, Path dir, int cores, ProcessLimits limits) {
        this(layout, dir, cores, limits.memoryMb(), limits.memoryMb(), limits.maxFileDescriptors());
    }

    private ClusterSettings(
            ClusterLayout layout,
            Path dir,
            int cores,
            int coreMemoryMb,
            int edgeMemoryMb,
            int maxFileDescriptors) {
        this.coreMemoryMb = coreMemoryMb;
        this.edgeMemoryMb = edgeMemoryMb;
        this.maxFileDescriptors = maxFileDescriptors;
        this.layout = layout;
        this.dir = dir;
        seeds = IntStream.range(0, Math.min(MOST_SEEDS, cores)).mapToObj(layout::control).toList();
    }

    /** The folder of a core daemon's files. */
    Path coreDirectory(int core) {
        return dir.resolve("core" + core);
    }

    String core(int core, boolean bootstrap, int internalPort) {
        var text = common("core", core, layout.core(core), internalPort);
        text.quoted("ControlPlane", layout.control(core));
        bounds(text, coreMemoryMb);
        return "Bootstrap = " + bootstrap + "\nQuorumMember = true\n" + text;
    }

    String edge(int edge) {
        var ip = layout.edge(edge);
        var text = common("edge", edge, ip, ClusterLayout.INTERNAL_PORT);
        text.quoted("Frontend", ip + ":" + ClusterLayout.FRONT_PORT);
        text.quoted("Readiness", ip + ":" + ClusterLayout.READINESS_PORT);
        bounds(text, edgeMemoryMb);
        return "Bootstrap = false\nQuorumMember = false\n" + text;
    }

    /** All up to the addresses at which the daemon listens. */
    private SettingsText common(String role, int number, String ip, int internalPort) {
        var zone = ClusterLayout.zone(number);
        var text =
                new SettingsText(role + number, ip)
                        .located(zone, ClusterLayout.region(zone))
                        .internalPorts(internalPort, internalPort + MORE_INTERNAL_PORTS)
                        .seeds(seeds)
                        .dataDirectory(dir.resolve(role + number))
                        .value("HeartbeatIntervalMs", HEARTBEAT_INTERVAL_MS)
                        .value("Serves", "[\"" + role + "\"]")
                        .section("Zones");
        ClusterLayout.zones().forEach(each -> text.quoted(each, ClusterLayout.region(each)));
        return text.section("ListenAddresses");
    }

    private void bounds(SettingsText text, int memoryMb) {
        text.section("Limits")
                .value("MaxFileDescriptors", maxFileDescriptors)
                .value("MemoryMb", memoryMb);
        text.section("Bounds")
                .value("GracePeriodS", GRACE_PERIOD_S)
                .value("RetrySlack", RETRY_SLACK)
                .value("RetryBudgetRatio", RETRY_BUDGET_RATIO)
                .value("WarmupOverage", 1.0)
                .value("WarmupSlack", 0);
    }
}
