package martenloom.launcher;

import martenloom.common.error.UsageException;
import martenloom.shell.Shell;

/** The commands for people: help, version, checks of files, the shell, and the simulation. */
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

    /** Runs the command that the arguments name, and returns its exit code. */
    static int run(String[] args) {
        return run(CommandArguments.parse(args)).code();
    }

    private static ExitStatus run(CommandArguments arguments) {
        if (arguments.has("help")) {
            System.out.println(USAGE);
            return ExitStatus.SUCCESS;
        }
        if (arguments.has("version")) {
            System.out.println("martenloom " + Launcher.VERSION);
            return ExitStatus.SUCCESS;
        }
        return find(arguments.command()).run(arguments);
    }

    /** Makes the command of a name; classes of the others are not loaded. */
    private static Command find(String name) {
        return switch (name) {
            case "check-settings" -> new CheckSettingsCommand();
            case "check-configuration" -> new CheckConfigurationCommand();
            case "check-placement" -> new CheckPlacementCommand();
            case "simulate" -> new SimulateCommand();
            case "shell" -> Commands::runShell;
            case "" -> throw unknown("a role or command is missing");
            default -> throw unknown("'" + name + "' is no role or command");
        };
    }

    private static UsageException unknown(String reason) {
        return CommandArguments.usageError(reason + " (see --help)");
    }

    private static ExitStatus runShell(CommandArguments arguments) {
        return ExitStatus.ofCode(Shell.run(arguments.option("at").orElse(""), arguments.words()));
    }
}
