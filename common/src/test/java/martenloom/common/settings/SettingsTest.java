package martenloom.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a daemon takes over from a changed file; {@link SettingsGoldenTest} covers the reading. */
final class SettingsTest {
    private static final String SETTINGS =
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
            """;

    @Test
    void onlySeedNodesAndBoundsAreReloadable() {
        var settings = SettingsFile.parse(SETTINGS);
        settings.adoptReloadable(
                SettingsFile.parse(
                        SETTINGS.replace("\"10.0.0.1:7000\"", "\"10.0.0.2:7000\"")
                                        .replace("\"n1\"", "\"n2\"")
                                + "[Bounds]\nDrainMs = 7\n"));
        assertEquals(List.of("10.0.0.2:7000"), settings.seedNodes());
        assertEquals(7, settings.bounds().drainTimeoutMs());
        assertEquals("n1", settings.nodeName());
    }
}
