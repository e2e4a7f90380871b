package martenloom.kiosk;

import static org.junit.jupiter.api.Assertions.*;

import java.io.*;
import java.nio.file.*;
import java.util.*;
import martenloom.galley.fault.*;
import martenloom.galley.props.*;
import org.junit.jupiter.api.*;
import org.junit.jupiter.api.io.*;

/** The command line: whatever is wrong is said in one line with the field and the reason. */
final class CommandsTest {
    private static final String GOOD = """
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
    @TempDir
    Path dir;

    private static String refused(String... args) {
        var f = assertThrows(Fault.class, () -> Commands.run(args));
        assertFalse(f.getMessage().contains("\n"));
        return f.code + " " + f.getMessage();
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text).toString();
    }

    @Test
    void goodSettingsPassAndBadOnesNameTheField() throws IOException {
        assertEquals(0, Commands.run(new String[] {"check-settings", file("s.toml", GOOD)}));
        for (var bad : Map.of("NodeName", "NodeName = \"\"", "InternalPortRange", "InternalPortRange = [9,1]", "SeedNodes", "SeedNodes = [\"x\"]", "Zones", "Zones = 3").entrySet()) {
            var t = bad.getKey().equals("Zones") ? bad.getValue() + "\n" + GOOD.replace("[Zones]", "[Other]") : GOOD.replaceAll("(?m)^" + bad.getKey() + " .*$", bad.getValue());
            assertTrue(refused("check-settings", file("b.toml", t)).contains(bad.getKey()), bad.getKey());
        }
        assertTrue(refused("check-settings", file("d.toml", GOOD.replace("DrainMs = 2500", "DrainMs = \"x\""))).contains("Bounds.DrainMs: must be a number"));
        assertTrue(refused("check-settings", file("t.toml", "a = [")).contains("not TOML"));
        assertTrue(refused("check-settings", dir.resolve("none").toString()).contains("cannot be read"));
    }

    @Test
    void placementsAreCheckedBeforeTheyGoLive() throws IOException {
        var running = ",\"Running\":[{\"Backend\":\"model\",\"Region\":\"north\",\"Replicas\":[\"a\",\"b\"]},{\"Backend\":\"model\",\"Region\":\"south\",\"Replicas\":[\"c\"]}]";
        var f = "{\"Setup\":" + martenloom.kiosk.town.Town.setup(3, "") + running;
        assertEquals(0, Commands.run(new String[] {"check-placement", file("p1.json", f + "}")}));
        assertEquals(0, Commands.run(new String[] {"check-placement", file("p2.json", f + ",\"Change\":{\"Model\":\"m\",\"Region\":\"north\",\"Replicas\":[\"a\"]}}")}));
        var out = new ByteArrayOutputStream();
        var was = System.out;
        System.setOut(new PrintStream(out));
        try {
            assertEquals(1, Commands.run(new String[] {"check-placement", file("p3.json", f + ",\"Change\":{\"Model\":\"m\",\"Region\":\"north\"}}")}));
        } finally {
            System.setOut(was);
        }
        assertEquals("refused: model 'm' would run nowhere if region 'south' were lost", out.toString().strip());
        assertTrue(refused("check-placement", file("p4.json", f + ",\"Change\":{\"Model\":\"x\",\"Region\":\"north\"}}")).contains("model 'x' is unknown"));
        assertTrue(refused("check-placement", file("p5.json", "{\"Setup\":")).startsWith("SETUP"));
        assertTrue(refused("check-placement", file("p6.json", "{\"Setup\":" + martenloom.kiosk.town.Town.setup(3, "") + "}")).contains("Running"));
        assertTrue(refused("check-placement").startsWith("USAGE"));
        assertTrue(refused("check-placement", "--at", "127.0.0.1:1", "north").startsWith("USAGE"));
    }

    @Test
    void scalingInASetupIsCheckedByModelFieldAndRange() throws IOException {
        var good = martenloom.kiosk.town.Town.setup(3, "").replaceFirst("\\{", "{\"Autoscaling\":[{\"Name\":\"m\",\"WindowS\":10,\"MinReplicas\":2}],");
        assertEquals(0, Commands.run(new String[] {"check-setup", file("a1.json", good)}));
        assertTrue(refused("check-setup", file("a2.json", good.replace(":10", ":9"))).contains("model 'm' WindowS: 9 is not a whole number from 10 to 3600"));
        assertTrue(refused("check-setup", file("a3.json", good.replace("WindowS", "Window"))).contains("no field of Autoscaling"));
        assertTrue(refused("check-setup", file("a4.json", good.replace("\"Name\":\"m\",\"W", "\"Name\":\"z\",\"W"))).contains("no service has model 'z'"));
    }

    @Test
    void changedSettingsAreTakenOverAndUnusableOnesArePassedOver() throws IOException {
        var p = Props.parse(GOOD);
        var f = Path.of(file("h.toml", GOOD.replace("DrainMs = 2500", "DrainMs = 2600")));
        var last = new java.util.concurrent.atomic.AtomicReference<>(GOOD);
        Kiosk.reread(p, f, last);
        assertEquals(2600, p.bounds.drainMs);
        for (var bad : List.of("DrainMs = \"x\"", "DrainMs = [")) {
            Files.writeString(f, GOOD.replace("DrainMs = 2500", bad));
            Kiosk.reread(p, f, last);
            assertEquals(2600, p.bounds.drainMs, "the old goes on");
            var said = Arrays.stream(martenloom.galley.log.RingLog.tail(20).split("\n")).filter(l -> l.contains("settings changed and are not usable")).toList();
            assertFalse(said.isEmpty(), "said in one line");
        }
        Files.delete(f);
        Kiosk.reread(p, f, last);
        assertEquals(2600, p.bounds.drainMs);
    }

    @Test
    void setupsAreCheckedInBothForms() throws IOException {
        assertEquals(0, Commands.run(new String[] {"check-setup", file("s.json", martenloom.kiosk.town.Town.setup(3, ""))}));
        assertTrue(refused("check-setup", file("c.json", "{\"Revision\":")).startsWith("SETUP"));
        assertTrue(refused("check-setup", file("m.menu", "revision 3\nservise x\n")).contains("line 2 column 1"));
    }

    @Test
    void usageIsToldApart() {
        assertTrue(refused().startsWith("USAGE"));
        assertTrue(refused("serve").contains("'serve'"));
        assertTrue(refused("check-setup").contains("takes one FILE"));
        assertTrue(refused("foreman", "members").contains("--at"));
        assertTrue(refused("foreman", "--at", "nowhere", "members").contains("--at"));
        assertEquals(0, Commands.run(new String[] {"--help"}));
        assertEquals(0, Commands.run(new String[] {"--version"}));
    }

    @Test
    void aChangedFileGivesNewSeedsAndBounds() {
        var p = Props.parse(GOOD);
        p.adopt(Props.parse(GOOD.replace("2500", "900").replace("10.1.0.13", "10.9.0.1")));
        assertEquals(900, p.bounds.drainMs);
        assertEquals(List.of("10.9.0.1:8166"), p.seeds);
    }
}
