package martenloom.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.UsageException;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.SettingsFile;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The commands for people: help, version, checks of files, and the shell shell. */
final class Commands {
    private static final String USAGE =
            """
            martenloom ROLE | COMMAND
              edge [--scaling WORDS]    run an edge daemon (settings file in MARTENLOOM_NODE_FILE); WORDS: defaults of
                                        autoscaling, as window=60,delay=900,step=50,utilization=70,target=8,floor=0,ceiling=9
              core                    run a core daemon (settings file in MARTENLOOM_NODE_FILE)
              check-settings FILE       read and check a settings file
              check-configuration FILE          read and check a configuration (.json) or a text in the routing language (other names)
              check-placement FILE      what the loss of a region would strand, and whether the file's change makes it worse
              check-placement --at IP:PORT REGION/MODEL unload|load    the same for an order, against a live core daemon
              shell --at IP:PORT [QUERY]   ask a daemon about the fleet; without QUERY, a shell
              simulate --seed N --days N [--members 3|5|9] [--steps N] [--kinds KIND,..]
                                        simulated days of the control side; ends with 1 at a broken invariant
              --help, --version\
            """;

    private Commands() {}

    static int run(String[] args) {
        var o =
                new Options()
                        .addOption("h", "help", false, "help")
                        .addOption("V", "version", false, "version")
                        .addOption(null, "at", true, "daemon");
        SimulateCommand.OPTIONS.forEach(name -> o.addOption(null, name, true, "of simulate"));
        CommandLine c;
        try {
            c = new DefaultParser().parse(o, args);
        } catch (ParseException e) {
            throw new UsageException("read command line", e.getMessage());
        }
        if (c.hasOption("help")) {
            System.out.println(USAGE);
            return 0;
        }
        if (c.hasOption("version")) {
            System.out.println("martenloom " + Launcher.VERSION);
            return 0;
        }
        var a = c.getArgList();
        var verb = a.isEmpty() ? "" : a.get(0);
        return switch (verb) {
            case "check-settings" -> settings(file(a));
            case "check-configuration" -> configuration(file(a));
            case "check-placement" ->
                    placement(Optional.ofNullable(c.getOptionValue("at")).orElse(""), a);
            case "simulate" -> SimulateCommand.run(c);
            case "shell" ->
                    martenloom.shell.Shell.run(
                            Optional.ofNullable(c.getOptionValue("at")).orElse(""),
                            a.subList(1, a.size()));
            default ->
                    throw new UsageException(
                            "read command line",
                            (verb.isEmpty()
                                            ? "a role or command is missing"
                                            : "'" + verb + "' is no role or command")
                                    + " (see --help)");
        };
    }

    private static String file(List<String> a) {
        if (a.size() != 2) {
            throw new UsageException("read command line", a.get(0) + " takes one FILE");
        }
        return a.get(1);
    }

    private static int settings(String f) {
        var p = SettingsFile.load(f);
        System.out.println(
                "ok: "
                        + p.nodeName()
                        + " in "
                        + p.zone()
                        + "/"
                        + p.region()
                        + ", serves "
                        + String.join(",", p.servedRoles()));
        return 0;
    }

    private static int placement(String at, List<String> a) {
        if (at.isEmpty()) {
            return PlacementCheck.run(text("read placement", file(a)));
        }
        if (a.size() != 3
                || !a.get(1).contains("/")
                || !a.get(2).equals("unload") && !a.get(2).equals("load")) {
            throw new UsageException(
                    "read command line",
                    "check-placement --at IP:PORT takes REGION/MODEL and unload or load");
        }
        var r =
                martenloom.shell.Shell.ask(
                        IpPort.parse("--at", at), "would " + a.get(1) + " " + a.get(2));
        System.out.print(r);
        return r.startsWith("ok") ? 0 : 1;
    }

    private static String text(String step, String f) {
        try {
            return Files.readString(Path.of(f));
        } catch (IOException e) {
            throw new InvalidConfigurationException(step, f + " cannot be read");
        }
    }

    private static int configuration(String f) {
        var t = text("read configuration", f);
        var table =
                f.endsWith(".json")
                        ? RoutingLanguage.compile(Configurations.replace(t).routingText())
                        : RoutingLanguage.compile(t);
        System.out.println(
                "ok: revision "
                        + table.revision()
                        + ", "
                        + table.routes().size()
                        + " routes, "
                        + table.services().size()
                        + " services");
        return 0;
    }
}
