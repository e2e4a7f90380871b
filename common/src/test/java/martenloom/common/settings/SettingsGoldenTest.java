package martenloom.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import martenloom.common.error.MartenloomException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A whole settings file as the operator writes it, its parsed fields, and the faults of bad ones.
 */
final class SettingsGoldenTest {
    private static final String FAULT_START = "SETTINGS at check settings with here: ";

    private static final String SETTINGS =
            """
            NodeName = "keeper-lowland-2"
            Role = "keeper"
            MachineClass = "core"
            Serves = ["control_plane", "registry"]
            IpAddress = "10.7.1.20"
            Zone = "lowland-e"
            Region = "lowland"
            InternalPortRange = [7300,7315]
            SeedNodes = ["10.7.1.20:8266","10.8.1.21:8266"]
            Bootstrap = true
            QuorumMember = true
            Discovery = "registration"
            HeartbeatIntervalMs = 900
            DataDirectory = "/data/keeper"
            Guarantees = ["base","drain"]
            [Zones]
            lowland-e = "lowland"
            highland-f = "highland"
            [ListenAddresses]
            ControlPlane = "10.7.1.20:8266"
            Directory = "10.7.1.20:8268"
            [Limits]
            CpuShare = 0.5
            MemoryMb = 300
            MaxFileDescriptors = 3000
            [FaultTolerance]
            Machines = 2
            Zones = 1
            [Bounds]
            SeedLagS = 3
            ContactMs = 4100
            AckTimeoutMs = 5200
            DrainMs = 2600
            GracePeriodS = 7.5
            ConfigApplyMs = 2700
            RetryBudgetRatio = 0.25
            RetryWindowS = 11
            RetrySlack = 44
            WarmupOverage = 1.25
            WarmupSlack = 6
            EvacuationMs = 5300
            ttl_max_s = 3.5
            """;

    private static final String LEAST_SETTINGS =
            """
            NodeName = "gate-1"
            IpAddress = "10.7.1.30"
            Zone = "lowland-e"
            Region = "lowland"
            InternalPortRange = [7300,7300]
            SeedNodes = []
            Serves = []
            [Zones]
            [ListenAddresses]
            """;

    private static String fault(String text) {
        return assertThrows(MartenloomException.class, () -> SettingsFile.parse(text)).getMessage();
    }

    @Test
    void everyFieldIsRead() {
        var settings = SettingsFile.parse(SETTINGS);
        assertEquals("keeper-lowland-2", settings.nodeName());
        assertEquals("10.7.1.20", settings.ipAddress());
        assertEquals("lowland-e", settings.zone());
        assertEquals("lowland", settings.region());
        assertEquals(7300, settings.firstInternalPort());
        assertEquals(7315, settings.lastInternalPort());
        assertEquals(List.of("10.7.1.20:8266", "10.8.1.21:8266"), settings.seedNodes());
        assertEquals(true, settings.bootstrap());
        assertEquals(true, settings.quorumMember());
        assertEquals("/data/keeper", settings.dataDirectory());
        assertEquals(900, settings.heartbeatIntervalMs());
        assertEquals(Set.of("control_plane", "registry"), settings.servedRoles());
        assertEquals(
                Map.of("lowland-e", "lowland", "highland-f", "highland"), settings.regionByZone());
        assertEquals(
                Map.of("ControlPlane", "10.7.1.20:8266", "Directory", "10.7.1.20:8268"),
                settings.listenAddresses());
        assertEquals(3000, settings.maxFileDescriptors());
        assertEquals(300, settings.memoryMb());
        assertEquals(2, settings.toleratedMachineFailures());
        assertEquals("highland", settings.regionOf("highland-f"));
        assertEquals("", settings.regionOf("unknown"));
        assertEquals("10.7.1.20:8266", settings.requiredListenAddress("ControlPlane"));
    }

    @Test
    void everyBoundIsRead() {
        var bounds = SettingsFile.parse(SETTINGS).bounds();
        assertEquals(4100, bounds.contactMs());
        assertEquals(5200, bounds.acknowledgementTimeoutMs());
        assertEquals(2600, bounds.drainTimeoutMs());
        assertEquals(7.5, bounds.gracePeriodS());
        assertEquals(2700, bounds.configurationApplyMs());
        assertEquals(0.25, bounds.retryBudgetRatio());
        assertEquals(11, bounds.retryWindowS());
        assertEquals(44, bounds.retryBudgetSlack());
        assertEquals(1.25, bounds.warmupOverage());
        assertEquals(6, bounds.warmupSlack());
        assertEquals(5300, bounds.evacuationMs());
        assertEquals(3.5, bounds.maxTtlS());
    }

    @Test
    void whatIsLeftOutHasItsDefault() {
        var settings = SettingsFile.parse(LEAST_SETTINGS);
        assertEquals(false, settings.bootstrap());
        assertEquals(false, settings.quorumMember());
        assertEquals("", settings.dataDirectory());
        assertEquals(1000, settings.heartbeatIntervalMs());
        assertEquals(1024, settings.maxFileDescriptors());
        assertEquals(256, settings.memoryMb());
        assertEquals(1, settings.toleratedMachineFailures());
        var bounds = settings.bounds();
        assertEquals(4000, bounds.contactMs());
        assertEquals(5000, bounds.acknowledgementTimeoutMs());
        assertEquals(2500, bounds.drainTimeoutMs());
        assertEquals(8, bounds.gracePeriodS());
        assertEquals(2500, bounds.configurationApplyMs());
        assertEquals(0.1, bounds.retryBudgetRatio());
        assertEquals(10, bounds.retryWindowS());
        assertEquals(10, bounds.retryBudgetSlack());
        assertEquals(1, bounds.warmupOverage());
        assertEquals(0, bounds.warmupSlack());
        assertEquals(5000, bounds.evacuationMs());
        assertEquals(5, bounds.maxTtlS());
    }

    /** Each line: a line of the file, what stands in its place, and the one-line fault. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "NodeName = \"keeper-lowland-2\"|#|NodeName: missing",
                "NodeName = \"keeper-lowland-2\"|NodeName = \" \"|NodeName: must be a non-empty"
                        + " string",
                "IpAddress = \"10.7.1.20\"|IpAddress = 7|IpAddress: must be a non-empty string",
                "Zone = \"lowland-e\"|#|Zone: missing",
                "Region = \"lowland\"|#|Region: missing",
                "[7300,7315]|[7300]|InternalPortRange: must be two port numbers",
                "[7300,7315]|[\"a\",\"b\"]|InternalPortRange: must be two port numbers",
                "[7300,7315]|7300|InternalPortRange: must be a list",
                "[7300,7315]|[7315,7300]|InternalPortRange: must run from a lower to a higher port"
                        + " below 65536",
                "[7300,7315]|[7300,70000]|InternalPortRange: must run from a lower to a higher port"
                        + " below 65536",
                "\"10.8.1.21:8266\"|\"elsewhere:8266\"|SeedNodes: 'elsewhere:8266' is not IP:PORT",
                "\"10.8.1.21:8266\"|\"10.8.1.21\"|SeedNodes: '10.8.1.21' is not IP:PORT",
                "\"10.8.1.21:8266\"|\"10.8.1.21:99999\"|SeedNodes: '10.8.1.21:99999' is not"
                        + " IP:PORT",
                "Bootstrap = true|Bootstrap = \"yes\"|Bootstrap: must be true or false",
                "QuorumMember = true|QuorumMember = 1|QuorumMember: must be true or false",
                "HeartbeatIntervalMs = 900|HeartbeatIntervalMs = 0|HeartbeatIntervalMs: must be"
                        + " above 0",
                "HeartbeatIntervalMs = 900|HeartbeatIntervalMs = \"x\"|HeartbeatIntervalMs: must be"
                        + " a number, 0 or more",
                "Serves = [\"control_plane\", \"registry\"]|Serves = \"registry\"|Serves: must be a"
                        + " list",
                "highland-f = \"highland\"|highland-f = 3|Zones.highland-f: must be a string",
                "[Zones]|[Other]|Zones: missing",
                "\"10.7.1.20:8268\"|\"here\"|ListenAddresses.Directory: 'here' is not IP:PORT",
                "MemoryMb = 300|MemoryMb = -1|Limits.MemoryMb: must be a number, 0 or more",
                "Machines = 2|Machines = true|FaultTolerance.Machines: must be a number, 0 or more",
                "RetrySlack = 44|RetrySlack = -0.5|Bounds.RetrySlack: must be a number, 0 or more"
            })
    void aBadFieldIsNamedWithItsReason(String line, String instead, String reason) {
        var text = SETTINGS.replace(line, instead);
        assertEquals(false, text.equals(SETTINGS), line);
        assertEquals(FAULT_START + reason, fault(text));
    }

    @Test
    void otherFaultsHaveTheirTexts() {
        assertEquals(
                "SETTINGS at read settings with here: not TOML: Invalid value containing only"
                        + " whitespaces",
                fault("NodeName = \n"));
        assertEquals(
                "SETTINGS at read settings with here: MARTENLOOM_NODE_FILE is not set",
                assertThrows(MartenloomException.class, () -> SettingsFile.load(" ")).getMessage());
        assertEquals(
                "SETTINGS at read settings with here: no-such-file.toml cannot be read"
                        + " (NoSuchFileException)",
                assertThrows(
                                MartenloomException.class,
                                () -> SettingsFile.load("no-such-file.toml"))
                        .getMessage());
        assertEquals(
                "SETTINGS at check settings with here: ListenAddresses.ControlPlane: missing, and"
                        + " this role needs it",
                assertThrows(
                                MartenloomException.class,
                                () ->
                                        SettingsFile.parse(LEAST_SETTINGS)
                                                .requiredListenAddress("ControlPlane"))
                        .getMessage());
    }
}
