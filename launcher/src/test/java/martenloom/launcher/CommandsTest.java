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
import martenloom.common.settings.SettingsFile;
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
    @TempDir Path dir;

    private static String refused(String... args) {
        var f = assertThrows(MartenloomException.class, () -> Commands.run(args));
        assertFalse(f.getMessage().contains("\n"));
        return f.code() + " " + f.getMessage();
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
            var t =
                    bad.getKey().equals("Zones")
                            ? bad.getValue() + "\n" + GOOD.replace("[Zones]", "[Other]")
                            : GOOD.replaceAll("(?m)^" + bad.getKey() + " .*$", bad.getValue());
            assertTrue(
                    refused("check-settings", file("b.toml", t)).contains(bad.getKey()),
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

    @Test
    void placementsAreCheckedBeforeTheyGoLive() throws IOException {
        var running =
                ",\"Running\":[{\"Backend\":\"model\",\"Region\":\"north\",\"Replicas\":[\"a\",\"b\"]},{\"Backend\":\"model\",\"Region\":\"south\",\"Replicas\":[\"c\"]}]";
        var f =
                "{\"Configuration\":"
                        + martenloom.launcher.harness.TestCluster.configuration(3, "")
                        + running;
        assertEquals(0, Commands.run(new String[] {"check-placement", file("p1.json", f + "}")}));
        assertEquals(
                0,
                Commands.run(
                        new String[] {
                            "check-placement",
                            file(
                                    "p2.json",
                                    f
                                            + ",\"Change\":{\"Model\":\"m\",\"Region\":\"north\",\"Replicas\":[\"a\"]}}")
                        }));
        var out = new ByteArrayOutputStream();
        var was = System.out;
        System.setOut(new PrintStream(out));
        try {
            assertEquals(
                    1,
                    Commands.run(
                            new String[] {
                                "check-placement",
                                file(
                                        "p3.json",
                                        f + ",\"Change\":{\"Model\":\"m\",\"Region\":\"north\"}}")
                            }));
        } finally {
            System.setOut(was);
        }
        assertEquals(
                "refused: model 'm' would run nowhere if region 'south' were lost",
                out.toString().strip());
        assertTrue(
                refused(
                                "check-placement",
                                file(
                                        "p4.json",
                                        f + ",\"Change\":{\"Model\":\"x\",\"Region\":\"north\"}}"))
                        .contains("model 'x' is unknown"));
        assertTrue(
                refused("check-placement", file("p5.json", "{\"Configuration\":"))
                        .startsWith("CONFIGURATION"));
        assertTrue(
                refused(
                                "check-placement",
                                file(
                                        "p6.json",
                                        "{\"Configuration\":"
                                                + martenloom.launcher.harness.TestCluster
                                                        .configuration(3, "")
                                                + "}"))
                        .contains("Running"));
        assertTrue(refused("check-placement").startsWith("USAGE"));
        assertTrue(refused("check-placement", "--at", "127.0.0.1:1", "north").startsWith("USAGE"));
    }

    @Test
    void scalingInAConfigurationIsCheckedByModelFieldAndRange() throws IOException {
        var good =
                martenloom.launcher.harness.TestCluster.configuration(3, "")
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
        var p = SettingsFile.parse(GOOD);
        var f = Path.of(file("h.toml", GOOD.replace("DrainMs = 2500", "DrainMs = 2600")));
        var last = new java.util.concurrent.atomic.AtomicReference<>(GOOD);
        Launcher.reread(p, f, last);
        assertEquals(2600, p.bounds().drainTimeoutMs());
        for (var bad : List.of("DrainMs = \"x\"", "DrainMs = [")) {
            Files.writeString(f, GOOD.replace("DrainMs = 2500", bad));
            Launcher.reread(p, f, last);
            assertEquals(2600, p.bounds().drainTimeoutMs(), "the old goes on");
            var said =
                    Arrays.stream(martenloom.common.log.RingLog.recent(20).split("\n"))
                            .filter(l -> l.contains("settings changed and are not usable"))
                            .toList();
            assertFalse(said.isEmpty(), "said in one line");
        }
        Files.delete(f);
        Launcher.reread(p, f, last);
        assertEquals(2600, p.bounds().drainTimeoutMs());
    }

    @Test
    void configurationsAreCheckedInBothForms() throws IOException {
        assertEquals(
                0,
                Commands.run(
                        new String[] {
                            "check-configuration",
                            file(
                                    "s.json",
                                    martenloom.launcher.harness.TestCluster.configuration(3, ""))
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
        var p = SettingsFile.parse(GOOD);
        p.adoptReloadable(
                SettingsFile.parse(GOOD.replace("2500", "900").replace("10.1.0.13", "10.9.0.1")));
        assertEquals(900, p.bounds().drainTimeoutMs());
        assertEquals(List.of("10.9.0.1:8166"), p.seedNodes());
    }
}
