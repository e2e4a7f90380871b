package martenloom.launcher;

/** A command for people: it prints its result on the standard output. */
@FunctionalInterface
interface Command {
    /**
     * Runs the command.
     *
     * @throws martenloom.common.error.MartenloomException if the arguments, a file or a link cannot
     *     be used
     */
    ExitStatus run(CommandArguments arguments);
}
