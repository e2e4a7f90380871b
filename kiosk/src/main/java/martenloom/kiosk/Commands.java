package martenloom.kiosk;

import java.io.*;
import java.nio.file.*;
import java.util.*;
import martenloom.galley.fault.*;
import martenloom.galley.props.*;
import martenloom.menu.language.*;
import martenloom.menu.setup.*;
import org.apache.commons.cli.*;

/** The commands for people: help, version, checks of files, and the foreman shell. */
final class Commands {
    private static final String USAGE = """
        martenloom ROLE | COMMAND
          newsstand [--scaling WORDS]    run an edge daemon (settings file in MARTENLOOM_NODE_FILE); WORDS: defaults of
                                    autoscaling, as window=60,delay=900,step=50,utilization=70,target=8,floor=0,ceiling=9
          pantry                    run a core daemon (settings file in MARTENLOOM_NODE_FILE)
          check-settings FILE       read and check a settings file
          check-setup FILE          read and check a setup (.json) or a text in the menu language (other names)
          check-placement FILE      what the loss of a region would strand, and whether the file's change makes it worse
          check-placement --at IP:PORT REGION/MODEL unload|load    the same for an order, against a live core daemon
          foreman --at IP:PORT [QUERY]   ask a daemon about the fleet; without QUERY, a shell
          --help, --version""";

    private Commands() {}

    static int run(String[] args) {
        var o = new Options().addOption("h", "help", false, "help").addOption("V", "version", false, "version").addOption(null, "at", true, "daemon");
        CommandLine c;
        try {
            c = new DefaultParser().parse(o, args);
        } catch (ParseException e) {
            throw Fault.here(Fault.Code.USAGE, "read command line", e.getMessage());
        }
        if (c.hasOption("help")) {
            System.out.println(USAGE);
            return 0;
        }
        if (c.hasOption("version")) {
            System.out.println("martenloom " + Kiosk.VERSION);
            return 0;
        }
        var a = c.getArgList();
        var verb = a.isEmpty() ? "" : a.get(0);
        return switch (verb) {
            case "check-settings" -> settings(file(a));
            case "check-setup" -> setup(file(a));
            case "check-placement" -> placement(Optional.ofNullable(c.getOptionValue("at")).orElse(""), a);
            case "foreman" -> martenloom.foreman.Foreman.run(Optional.ofNullable(c.getOptionValue("at")).orElse(""), a.subList(1, a.size()));
            default -> throw Fault.here(Fault.Code.USAGE, "read command line", (verb.isEmpty() ? "a role or command is missing" : "'" + verb + "' is no role or command") + " (see --help)");
        };
    }

    private static String file(List<String> a) {
        if (a.size() != 2) {
            throw Fault.here(Fault.Code.USAGE, "read command line", a.get(0) + " takes one FILE");
        }
        return a.get(1);
    }

    private static int settings(String f) {
        var p = Props.load(f);
        System.out.println("ok: " + p.name + " in " + p.hall + "/" + p.region + ", serves " + String.join(",", p.serves));
        return 0;
    }

    private static int placement(String at, List<String> a) {
        if (at.isEmpty()) {
            return PlacementCheck.run(text("read placement", file(a)));
        }
        if (a.size() != 3 || !a.get(1).contains("/") || !a.get(2).equals("unload") && !a.get(2).equals("load")) {
            throw Fault.here(Fault.Code.USAGE, "read command line", "check-placement --at IP:PORT takes REGION/MODEL and unload or load");
        }
        var r = martenloom.foreman.Foreman.ask(Props.address("--at", at), "would " + a.get(1) + " " + a.get(2));
        System.out.print(r);
        return r.startsWith("ok") ? 0 : 1;
    }

    private static String text(String step, String f) {
        try {
            return Files.readString(Path.of(f));
        } catch (IOException e) {
            throw Fault.here(Fault.Code.SETUP, step, f + " cannot be read");
        }
    }

    private static int setup(String f) {
        var t = text("read setup", f);
        var table = f.endsWith(".json") ? MenuText.compile(Setups.replace(t).menu) : MenuText.compile(t);
        System.out.println("ok: revision " + table.revision + ", " + table.routes.size() + " routes, " + table.services.size() + " services");
        return 0;
    }
}
