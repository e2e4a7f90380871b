package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import martenloom.common.error.MartenloomException;
import martenloom.common.log.RingLog;
import martenloom.common.settings.SettingsFile;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: whatever is wrong is said in one line with the field and the reason. */
final class CommandsTest {
    private static final String GOOD =
            """
            NodeName = "edge-1"
            IpAddress = "10.1.0.10"
            Zone = "a"
            Region = "north"
            InternalPortRange = [7720,7735]
            SeedNodes = ["10.1.0.13:8166"]
            Serves = ["edge"]
            Later = "ignored"
            [Zones]
            a = "north"
            [ListenAddresses]
            Frontend = "10.1.0.10:8161"
            [Bounds]
            DrainMs = 2500
            """;
    @TempDir private Path dir;

    private static String refused(String... args) {
        var failure = assertThrows(MartenloomException.class, () -> Commands.run(args));
        assertFalse(failure.getMessage().contains("\n"));
        return failure.code() + " " + failure.getMessage();
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text).toString();
    }

    @Test
    void goodSettingsPassAndBadOnesNameTheField() throws IOException {
        assertEquals(0, Commands.run(new String[] {"check-settings", file("s.toml", GOOD)}));
        for (var bad :
                Map.of(
                                "NodeName",
                                "NodeName = \"\"",
                                "InternalPortRange",
                                "InternalPortRange = [9,1]",
                                "SeedNodes",
                                "SeedNodes = [\"x\"]",
                                "Zones",
                                "Zones = 3")
                        .entrySet()) {
            var text =
                    bad.getKey().equals("Zones")
                            ? bad.getValue() + "\n" + GOOD.replace("[Zones]", "[Other]")
                            : GOOD.replaceAll("(?m)^" + bad.getKey() + " .*$", bad.getValue());
            assertTrue(
                    refused("check-settings", file("b.toml", text)).contains(bad.getKey()),
                    bad.getKey());
        }
        assertTrue(
                refused(
                                "check-settings",
                                file("d.toml", GOOD.replace("DrainMs = 2500", "DrainMs = \"x\"")))
                        .contains("Bounds.DrainMs: must be a number"));
        assertTrue(refused("check-settings", file("t.toml", "a = [")).contains("not TOML"));
        assertTrue(
                refused("check-settings", dir.resolve("none").toString())
                        .contains("cannot be read"));
    }

    @Test
    void simulateRunsDaysAndNamesWhatIsWrong() {
        assertEquals(
                0,
                Commands.run(
                        new String[] {
                            "simulate",
                            "--seed",
                            "7",
                            "--days",
                            "1",
                            "--members",
                            "3",
                            "--steps",
                            "500",
                            "--kinds",
                            "kill,cut-pair"
                        }));
        assertTrue(refused("simulate", "--days", "1").contains("--seed: missing"));
        assertTrue(refused("simulate", "--seed", "1").contains("--days: missing"));
        assertTrue(
                refused("simulate", "--seed", "x", "--days", "1")
                        .contains("--seed: 'x' is not a whole number"));
        assertTrue(
                refused("simulate", "--seed", "1", "--days", "0")
                        .contains("--days: must be between 1 and"));
        assertTrue(
                refused("simulate", "--seed", "1", "--days", "1", "--members", "4")
                        .contains("--members: 4 is none of 3, 5 and 9"));
        assertTrue(
                refused("simulate", "--seed", "1", "--days", "1", "--steps", "-1")
                        .contains("--steps: must be between 1 and"));
        assertTrue(
                refused("simulate", "--seed", "1", "--days", "1", "--kinds", "kill,rain")
                        .contains("--kinds: 'rain' is none of kill,"));
        assertTrue(
                refused("simulate", "--seed", "1", "--days", "1", "more")
                        .contains("takes no arguments"));
    }

    private int checkPlacement(String name, String text) throws IOException {
        return Commands.run(new String[] {"check-placement", file(name, text)});
    }

    private static String change(String more) {
        return ",\"Change\":{\"Model\":\"m\",\"Region\":\"north\"" + more + "}}";
    }

    private static String configuredAndRunning() {
        return "{\"Configuration\":"
                + TestConfiguration.of(3)
                + ",\"Running\":[{\"Backend\":\"model\",\"Region\":\"north\",\"Replicas\":[\"a\",\"b\"]},{\"Backend\":\"model\",\"Region\":\"south\",\"Replicas\":[\"c\"]}]";
    }

    @Test
    void placementsAreCheckedBeforeTheyGoLive() throws IOException {
        var configured = configuredAndRunning();
        assertEquals(0, checkPlacement("p1.json", configured + "}"));
        assertEquals(0, checkPlacement("p2.json", configured + change(",\"Replicas\":[\"a\"]")));
        var out = new ByteArrayOutputStream();
        var standardOut = System.out;
        System.setOut(new PrintStream(out));
        try {
            assertEquals(1, checkPlacement("p3.json", configured + change("")));
        } finally {
            System.setOut(standardOut);
        }
        assertEquals(
                "refused: model 'm' would run nowhere if region 'south' were lost",
                out.toString().strip());
    }

    @Test
    void unusablePlacementsAreRefusedWithTheReason() throws IOException {
        var unknown = configuredAndRunning() + change("").replace("\"m\"", "\"x\"");
        assertTrue(
                refused("check-placement", file("p4.json", unknown))
                        .contains("model 'x' is unknown"));
        assertTrue(
                refused("check-placement", file("p5.json", "{\"Configuration\":"))
                        .startsWith("CONFIGURATION"));
        var withoutRunning = "{\"Configuration\":" + TestConfiguration.of(3) + "}";
        assertTrue(refused("check-placement", file("p6.json", withoutRunning)).contains("Running"));
        assertTrue(refused("check-placement").startsWith("USAGE"));
        assertTrue(refused("check-placement", "--at", "127.0.0.1:1", "north").startsWith("USAGE"));
    }

    @Test
    void scalingInAConfigurationIsCheckedByModelFieldAndRange() throws IOException {
        var good =
                TestConfiguration.of(3)
                        .replaceFirst(
                                "\\{",
                                "{\"Autoscaling\":[{\"Name\":\"m\",\"WindowS\":10,\"MinReplicas\":2}],");
        assertEquals(0, Commands.run(new String[] {"check-configuration", file("a1.json", good)}));
        assertTrue(
                refused("check-configuration", file("a2.json", good.replace(":10", ":9")))
                        .contains("model 'm' WindowS: 9 is not a whole number from 10 to 3600"));
        assertTrue(
                refused("check-configuration", file("a3.json", good.replace("WindowS", "Window")))
                        .contains("no field of Autoscaling"));
        assertTrue(
                refused(
                                "check-configuration",
                                file(
                                        "a4.json",
                                        good.replace("\"Name\":\"m\",\"W", "\"Name\":\"z\",\"W")))
                        .contains("no service has model 'z'"));
    }

    @Test
    void changedSettingsAreTakenOverAndUnusableOnesArePassedOver() throws IOException {
        var settings = SettingsFile.parse(GOOD);
        var file = Path.of(file("h.toml", GOOD.replace("DrainMs = 2500", "DrainMs = 2600")));
        var watcher = new SettingsWatcher(settings, file, GOOD);
        watcher.reloadIfChanged();
        assertEquals(2600, settings.bounds().drainTimeoutMs());
        for (var bad : List.of("DrainMs = \"x\"", "DrainMs = [")) {
            Files.writeString(file, GOOD.replace("DrainMs = 2500", bad));
            watcher.reloadIfChanged();
            assertEquals(2600, settings.bounds().drainTimeoutMs(), "the old goes on");
            var said =
                    Arrays.stream(RingLog.recent(20).split("\n"))
                            .filter(line -> line.contains("settings changed and are not usable"))
                            .toList();
            assertFalse(said.isEmpty(), "said in one line");
        }
        Files.delete(file);
        watcher.reloadIfChanged();
        assertEquals(2600, settings.bounds().drainTimeoutMs());
    }

    @Test
    void configurationsAreCheckedInBothForms() throws IOException {
        assertEquals(
                0,
                Commands.run(
                        new String[] {
                            "check-configuration", file("s.json", TestConfiguration.of(3))
                        }));
        assertTrue(
                refused("check-configuration", file("c.json", "{\"Revision\":"))
                        .startsWith("CONFIGURATION"));
        assertTrue(
                refused("check-configuration", file("m.routes", "revision 3\nservise x\n"))
                        .contains("line 2 column 1"));
    }

    @Test
    void usageIsToldApart() {
        assertTrue(refused().startsWith("USAGE"));
        assertTrue(refused("serve").contains("'serve'"));
        assertTrue(refused("check-configuration").contains("takes one FILE"));
        assertTrue(refused("shell", "members").contains("--at"));
        assertTrue(refused("shell", "--at", "nowhere", "members").contains("--at"));
        assertEquals(0, Commands.run(new String[] {"--help"}));
        assertEquals(0, Commands.run(new String[] {"--version"}));
    }

    @Test
    void aChangedFileGivesNewSeedsAndBounds() {
        var settings = SettingsFile.parse(GOOD);
        settings.adoptReloadable(
                SettingsFile.parse(GOOD.replace("2500", "900").replace("10.1.0.13", "10.9.0.1")));
        assertEquals(900, settings.bounds().drainTimeoutMs());
        assertEquals(List.of("10.9.0.1:8166"), settings.seedNodes());
    }
}
