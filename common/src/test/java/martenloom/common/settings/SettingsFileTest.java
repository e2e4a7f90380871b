package martenloom.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import martenloom.common.error.InvalidSettingsException;
import org.junit.jupiter.api.Test;

/** The fields of a settings file and their defaults, and the errors that name field and reason. */
final class SettingsFileTest {
    private static final String REQUIRED =
            """
            NodeName = "n1"
            IpAddress = "10.0.0.1"
            Zone = "z1"
            Region = "r1"
            InternalPortRange = [7000, 7010]
            SeedNodes = ["10.0.0.1:7000"]
            Serves = ["core"]
            [Zones]
            z1 = "r1"
            [ListenAddresses]
            Frontend = "10.0.0.1:80"
            """;

    private static void assertRejected(String text, String reason) {
        var error = assertThrows(InvalidSettingsException.class, () -> SettingsFile.parse(text));
        assertTrue(error.getMessage().contains(reason), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
    }

    @Test
    void requiredFieldsAreRead() {
        var settings = SettingsFile.parse(REQUIRED);
        assertEquals("n1", settings.nodeName());
        assertEquals("10.0.0.1", settings.ipAddress());
        assertEquals("z1", settings.zone());
        assertEquals("r1", settings.region());
        assertEquals(7000, settings.firstInternalPort());
        assertEquals(7010, settings.lastInternalPort());
        assertEquals(List.of("10.0.0.1:7000"), settings.seedNodes());
        assertEquals(Set.of("core"), settings.servedRoles());
        assertEquals(Map.of("z1", "r1"), settings.regionByZone());
        assertEquals("r1", settings.regionOf("z1"));
        assertEquals("", settings.regionOf("z2"));
        assertEquals("10.0.0.1:80", settings.requiredListenAddress("Frontend"));
    }

    @Test
    void otherFieldsHaveDefaults() {
        var settings = SettingsFile.parse(REQUIRED);
        assertEquals(1000, settings.heartbeatIntervalMs());
        assertEquals(2500, settings.bounds().drainTimeoutMs());
        assertEquals(8, settings.bounds().gracePeriodS());
        assertEquals(0.1, settings.bounds().retryBudgetRatio());
    }

    @Test
    void seedNodesAndBoundsAreReloadable() {
        var settings = SettingsFile.parse(REQUIRED);
        settings.adoptReloadable(
                SettingsFile.parse(
                        REQUIRED.replace("\"10.0.0.1:7000\"", "\"10.0.0.2:7000\"")
                                        .replace("\"n1\"", "\"n2\"")
                                + "[Bounds]\nDrainMs = 7\n"));
        assertEquals(List.of("10.0.0.2:7000"), settings.seedNodes());
        assertEquals(7, settings.bounds().drainTimeoutMs());
        assertEquals("n1", settings.nodeName());
    }

    @Test
    void errorsNameFieldAndReason() {
        assertRejected("NodeName = ", "not TOML: ");
        assertRejected(REQUIRED.replace("\"n1\"", "\"\""), "NodeName: must be a non-empty string");
        assertRejected(REQUIRED.replace("Zone =", "Zona ="), "Zone: missing");
        assertRejected(
                REQUIRED.replace("7000, 7010", "7000"),
                "InternalPortRange: must be two port numbers");
        assertRejected(
                REQUIRED.replace("7010", "6999"),
                "InternalPortRange: must run from a lower to a higher port below 65536");
        assertRejected(
                REQUIRED.replace("10.0.0.1:7000", "host:7000"),
                "SeedNodes: 'host:7000' is not IP:PORT");
        assertRejected(
                REQUIRED.replace("10.0.0.1:80", "10.0.0.1"),
                "ListenAddresses.Frontend: '10.0.0.1' is not IP:PORT");
        assertRejected(REQUIRED.replace("z1 = \"r1\"", "z1 = 1"), "Zones.z1: must be a string");
        assertRejected(
                REQUIRED + "[Bounds]\nDrainMs = -1\n",
                "Bounds.DrainMs: must be a number, 0 or more");
        assertRejected(
                "HeartbeatIntervalMs = 0\n" + REQUIRED, "HeartbeatIntervalMs: must be above 0");
    }

    @Test
    void anAddressThatTheRoleNeedsIsRequired() {
        var settings = SettingsFile.parse(REQUIRED);
        var error =
                assertThrows(
                        InvalidSettingsException.class,
                        () -> settings.requiredListenAddress("ControlPlane"));
        assertTrue(
                error.getMessage()
                        .contains("ListenAddresses.ControlPlane: missing, and this role needs it"),
                error.getMessage());
    }

    @Test
    void aMissingFileIsNamed() {
        var blank = assertThrows(InvalidSettingsException.class, () -> SettingsFile.load(" "));
        assertTrue(blank.getMessage().contains("MARTENLOOM_NODE_FILE is not set"));
        var missing =
                assertThrows(
                        InvalidSettingsException.class, () -> SettingsFile.load("no/such/file"));
        assertTrue(
                missing.getMessage().contains("no/such/file cannot be read (NoSuchFileException)"),
                missing.getMessage());
    }
}
