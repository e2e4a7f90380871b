package martenloom.common.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of one daemon, as {@link SettingsFile} has read and checked them. All are fixed for
 * the run of the daemon apart from the seed nodes and the bounds, which {@link #adoptReloadable}
 * replaces. Thread-safe.
 */
public final class Settings {
    private static final int DEFAULT_HEARTBEAT_INTERVAL_MS = 1000;
    private static final int DEFAULT_FILE_DESCRIPTORS = 1024;
    private static final int DEFAULT_MEMORY_MB = 256;

    private final String nodeName;
    private final String ipAddress;
    private final String zone;
    private final String region;
    private final PortRange internalPorts;
    private volatile List<String> seedNodes;
    private final boolean bootstrap;
    private final boolean quorumMember;
    private final String dataDirectory;
    private final int heartbeatIntervalMs;
    private final Set<String> servedRoles;
    private final Map<String, String> regionByZone;
    private final Map<String, String> listenAddresses;
    private final int maxFileDescriptors;
    private final int memoryMb;
    private final int toleratedMachineFailures;
    private final int toleratedZoneFailures;
    private final int toleratedRegionFailures;
    private volatile OperatingBounds bounds;

    /** Checks field by field, in the order in which errors are to be reported. */
    Settings(SettingsFields fields) {
        nodeName = fields.requiredText("NodeName");
        ipAddress = fields.requiredText("IpAddress");
        zone = fields.requiredText("Zone");
        region = fields.requiredText("Region");
        internalPorts = PortRange.read(fields, "InternalPortRange");
        seedNodes = fields.texts("SeedNodes");
        for (var seed : seedNodes) {
            IpPort.parse("SeedNodes", seed);
        }
        bootstrap = fields.flag("Bootstrap", false);
        quorumMember = fields.flag("QuorumMember", false);
        dataDirectory = fields.text("DataDirectory", "");
        heartbeatIntervalMs =
                (int) fields.number("HeartbeatIntervalMs", DEFAULT_HEARTBEAT_INTERVAL_MS);
        if (heartbeatIntervalMs < 1) {
            throw SettingsFields.invalid("HeartbeatIntervalMs", "must be above 0");
        }
        servedRoles = Set.copyOf(fields.texts("Serves"));
        regionByZone = fields.table("Zones");
        listenAddresses = fields.table("ListenAddresses");
        listenAddresses.forEach((name, value) -> IpPort.parse("ListenAddresses." + name, value));
        maxFileDescriptors =
                (int) fields.number("Limits.MaxFileDescriptors", DEFAULT_FILE_DESCRIPTORS);
        memoryMb = (int) fields.number("Limits.MemoryMb", DEFAULT_MEMORY_MB);
        toleratedMachineFailures = (int) fields.number("FaultTolerance.Machines", 1);
        toleratedZoneFailures = (int) fields.number("FaultTolerance.Zones", 1);
        toleratedRegionFailures = (int) fields.number("FaultTolerance.Regions", 1);
        bounds = new OperatingBounds(fields);
    }

    /** Takes over what may change while a daemon runs: the seed nodes and the bounds. */
    public void adoptReloadable(Settings reloaded) {
        seedNodes = reloaded.seedNodes;
        bounds = reloaded.bounds;
    }

    public String nodeName() {
        return nodeName;
    }

    public String ipAddress() {
        return ipAddress;
    }

    public String zone() {
        return zone;
    }

    public String region() {
        return region;
    }

    /** The port on which other daemons connect; the first of the internal range. */
    public int firstInternalPort() {
        return internalPorts.first();
    }

    public int lastInternalPort() {
        return internalPorts.last();
    }

    /** Core daemons to contact first, each as IP:PORT. */
    public List<String> seedNodes() {
        return seedNodes;
    }

    /** Whether this daemon may found a new cluster. */
    public boolean bootstrap() {
        return bootstrap;
    }

    public boolean quorumMember() {
        return quorumMember;
    }

    public String dataDirectory() {
        return dataDirectory;
    }

    /** The interval between the heartbeats of a replica. */
    public int heartbeatIntervalMs() {
        return heartbeatIntervalMs;
    }

    /** What this daemon serves. */
    public Set<String> servedRoles() {
        return servedRoles;
    }

    public Map<String, String> regionByZone() {
        return regionByZone;
    }

    /** Where to listen, as IP:PORT by the name of the interface. */
    public Map<String, String> listenAddresses() {
        return listenAddresses;
    }

    public int maxFileDescriptors() {
        return maxFileDescriptors;
    }

    public int memoryMb() {
        return memoryMb;
    }

    /** How many machines may lose their disks at once. */
    public int toleratedMachineFailures() {
        return toleratedMachineFailures;
    }

    /** How many zones may lose their disks at once. */
    public int toleratedZoneFailures() {
        return toleratedZoneFailures;
    }

    /** How many regions may lose their disks at once. */
    public int toleratedRegionFailures() {
        return toleratedRegionFailures;
    }

    public OperatingBounds bounds() {
        return bounds;
    }

    /** The IP:PORT of an interface that the role of this daemon cannot do without. */
    public String requiredListenAddress(String name) {
        var address = listenAddresses.getOrDefault(name, "");
        if (address.isEmpty()) {
            throw SettingsFields.invalid(
                    "ListenAddresses." + name, "missing, and this role needs it");
        }
        return address;
    }

    /** The region of a zone; empty when the zone is unknown. */
    public String regionOf(String zoneName) {
        return regionByZone.getOrDefault(zoneName, "");
    }
}
