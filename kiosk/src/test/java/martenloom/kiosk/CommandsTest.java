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
