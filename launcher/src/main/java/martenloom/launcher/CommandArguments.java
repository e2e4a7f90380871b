package martenloom.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The parsed command line of a command: its name, the words after it, and options. */
final class CommandArguments {
    private static final Options OPTIONS =
            new Options()
                    .addOption("h", "help", false, "help")
                    .addOption("V", "version", false, "version")
                    .addOption(null, "at", true, "daemon");

    static {
        SimulateCommand.OPTIONS.forEach(name -> OPTIONS.addOption(null, name, true, "of simulate"));
    }

    private final CommandLine line;

    private CommandArguments(CommandLine line) {
        this.line = line;
    }

    static CommandArguments parse(String[] args) {
        try {
            return new CommandArguments(new DefaultParser().parse(OPTIONS, args));
        } catch (ParseException e) {
            throw usageError(e.getMessage());
        }
    }

    static UsageException usageError(String reason) {
        return new UsageException("read command line", reason);
    }

    /** The name of the command, empty when there is none. */
    String command() {
        return line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
    }

    /** The words after the name of the command, options left out. */
    List<String> words() {
        var all = line.getArgList();
        return all.subList(Math.min(1, all.size()), all.size());
    }

    boolean has(String option) {
        return line.hasOption(option);
    }

    /** The value of an option, if it is given. */
    Optional<String> option(String name) {
        return Optional.ofNullable(line.getOptionValue(name));
    }

    /** The only word after the name of the command, a file. */
    String file() {
        if (words().size() != 1) {
            throw usageError(command() + " takes one FILE");
        }
        return words().get(0);
    }

    /**
     * The text of the {@link #file}.
     *
     * @param step what is being done, for the error of a file that cannot be read
     */
    String fileText(String step) {
        var file = file();
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new InvalidConfigurationException(step, file + " cannot be read");
        }
    }
}
