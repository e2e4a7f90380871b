package martenloom.launcher;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.UsageException;
import martenloom.simulation.Simulation;
import martenloom.simulation.schedule.FaultKind;
import org.apache.commons.cli.CommandLine;

/**
 * The command that runs simulated days of the control side: reads its options and says with 0 or 1
 * whether all invariants held.
 */
final class SimulateCommand {
    static final List<String> OPTIONS = List.of("seed", "days", "members", "steps", "kinds");
    private static final List<Integer> MEMBERS = List.of(3, 5, 9);
    private static final int USUAL_MEMBERS = 5;

    private SimulateCommand() {}

    static int run(CommandLine line) {
        if (line.getArgList().size() != 1) {
            throw usage("takes no arguments beside its options");
        }
        var seed =
                number(line, "seed", Long.MIN_VALUE, Long.MAX_VALUE)
                        .orElseThrow(() -> usage("--seed: missing"));
        var days =
                number(line, "days", 1, Integer.MAX_VALUE)
                        .orElseThrow(() -> usage("--days: missing"));
        var members =
                number(line, "members", 1, Integer.MAX_VALUE)
                        .map(Long::intValue)
                        .orElse(USUAL_MEMBERS);
        if (!MEMBERS.contains(members)) {
            throw usage("--members: " + members + " is none of 3, 5 and 9");
        }
        var steps = number(line, "steps", 1, Long.MAX_VALUE).orElse(Simulation.MOST_STEPS);
        var options = new Simulation.Options(seed, days.intValue(), members, steps, kinds(line));
        return new Simulation(options, System.out).run().isPresent() ? 1 : 0;
    }

    private static Optional<Long> number(CommandLine line, String option, long least, long most) {
        return Optional.ofNullable(line.getOptionValue(option))
                .map(
                        text -> {
                            try {
                                var value = Long.parseLong(text.trim());
                                if (value < least || value > most) {
                                    throw usage(
                                            "--"
                                                    + option
                                                    + ": must be between "
                                                    + least
                                                    + " and "
                                                    + most);
                                }
                                return value;
                            } catch (NumberFormatException e) {
                                throw usage(
                                        "--" + option + ": '" + text + "' is not a whole number");
                            }
                        });
    }

    private static List<FaultKind> kinds(CommandLine line) {
        var words = Optional.ofNullable(line.getOptionValue("kinds"));
        if (words.isEmpty()) {
            return List.of(FaultKind.values());
        }
        return Arrays.stream(words.get().split(","))
                .map(w -> FaultKind.of(w.trim()).orElseThrow(() -> unknown(w)))
                .distinct()
                .toList();
    }

    private static MartenloomException unknown(String word) {
        var known =
                Arrays.stream(FaultKind.values())
                        .map(FaultKind::word)
                        .collect(Collectors.joining(", "));
        return usage("--kinds: '" + word + "' is none of " + known);
    }

    private static MartenloomException usage(String why) {
        return new UsageException("read command line", "simulate " + why);
    }
}
