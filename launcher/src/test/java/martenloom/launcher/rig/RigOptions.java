package martenloom.launcher.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The rig's command line. What it does not name follows from the number of edges. */
final class RigOptions {
    private static final String USAGE =
            "rig --edges N[,N...] [--cores N] [--replicas N] [--zones N] [--regions N] [--models N]"
                + " [--routes N] [--seconds N] [--changes N] [--pace MS] [--joins N] [--repeats N]";
    private static final List<String> NAMES =
            List.of(
                    "edges",
                    "cores",
                    "replicas",
                    "zones",
                    "regions",
                    "models",
                    "routes",
                    "seconds",
                    "changes",
                    "pace",
                    "joins",
                    "repeats");

    /** The large cluster that a smaller run is a part of, unless the command line says more. */
    private static final int FULL_EDGES = 390;

    private static final int FULL_REPLICAS = 2900;
    private static final int FULL_ZONES = 71;
    private static final int FULL_REGIONS = 26;
    private static final int FULL_MODELS = 12;
    private static final int MOST_EDGES = 400;

    private final CommandLine line;

    private RigOptions(CommandLine line) {
        this.line = line;
    }

    /** The sizes to run in turn; anything wrong is a usage error with the option and the reason. */
    static List<RigSize> read(String[] arguments) {
        var options = new Options();
        NAMES.forEach(name -> options.addOption(null, name, true, name));
        try {
            return new RigOptions(new DefaultParser().parse(options, arguments)).sizes();
        } catch (ParseException e) {
            throw usage(e.getMessage());
        }
    }

    private List<RigSize> sizes() {
        if (!line.hasOption("edges")) {
            throw usage("--edges is missing");
        }
        if (!line.getArgList().isEmpty()) {
            throw usage("'" + line.getArgList().get(0) + "' is not expected");
        }
        var sizes = new ArrayList<RigSize>();
        for (var word : line.getOptionValue("edges").split(",")) {
            var size = size(number("--edges", word, 1, MOST_EDGES));
            sizes.addAll(Collections.nCopies(option("repeats", 1, 1, 20), size));
        }
        return sizes;
    }

    private RigSize size(int edges) {
        return new RigSize(
                edges,
                option("cores", 8, 3, 16),
                option("replicas", share(FULL_REPLICAS, edges, 1), 1, 4000),
                option("zones", share(FULL_ZONES, edges, 3), 1, 100),
                option("regions", share(FULL_REGIONS, edges, 3), 1, 40),
                option("models", share(FULL_MODELS, edges, 1), 1, 20),
                option("routes", 40, 1, 5000),
                option("seconds", 10, 1, 120),
                option("changes", 5, 0, 100),
                option("pace", 0, 0, 60_000),
                option("joins", 0, 0, 100));
    }

    private static int share(int full, int edges, int least) {
        return Math.max(least, full * edges / FULL_EDGES);
    }

    private int option(String name, int usual, int least, int most) {
        return line.hasOption(name)
                ? number("--" + name, line.getOptionValue(name), least, most)
                : usual;
    }

    private static int number(String option, String word, int least, int most) {
        try {
            var number = Integer.parseInt(word);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw usage(option + ": '" + word + "' is not a whole number");
        }
        throw usage(option + ": " + word + " is not from " + least + " to " + most);
    }

    private static MartenloomException usage(String why) {
        return new UsageException("read command line", why + " (" + USAGE + ")");
    }
}
