package martenloom.launcher;

import martenloom.common.error.ErrorCode;
import martenloom.common.error.MartenloomException;

/**
 * The entry point: runs one of the two roles, or a command for people. The roles avoid loading what
 * only the commands need, for a start costs processor time.
 */
public final class Launcher {
    static final String VERSION = "0.1.0";

    private Launcher() {}

    /** Runs what the arguments say, and ends the process; an error is printed in one line. */
    public static void main(String[] args) {
        try {
            System.exit(run(args));
        } catch (MartenloomException e) {
            System.err.println("martenloom: " + e.getMessage());
            System.exit(statusOf(e).code());
        }
    }

    private static int run(String[] args) {
        var verb = args.length == 0 ? "" : args[0];
        return switch (verb) {
            case "edge", "core" -> RoleRunner.run(verb, args).code();
            case "rehearse" -> ClassArchiveTraining.run().code();
            default -> Commands.run(args);
        };
    }

    private static ExitStatus statusOf(MartenloomException error) {
        return error.code() == ErrorCode.USAGE ? ExitStatus.USAGE_ERROR : ExitStatus.FAILURE;
    }
}
