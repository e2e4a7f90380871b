package martenloom.launcher;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import martenloom.common.error.UsageException;
import martenloom.simulation.Simulation;
import martenloom.simulation.schedule.FaultKind;

/**
 * {@code simulate}: runs simulated days of the control side; it fails when an invariant is broken.
 */
final class SimulateCommand implements Command {
    /** The options that only this command has; each takes a value. */
    static final List<String> OPTIONS = List.of("seed", "days", "members", "steps", "kinds");

    private static final List<Integer> CLUSTER_SIZES = List.of(3, 5, 9);
    private static final int DEFAULT_CLUSTER_SIZE = 5;

    @Override
    public ExitStatus run(CommandArguments arguments) {
        if (!arguments.words().isEmpty()) {
            throw usageError("takes no arguments beside its options");
        }
        var violation = new Simulation(parse(arguments), System.out).run();
        return ExitStatus.ofCheck(violation.isEmpty());
    }

    private static Simulation.Options parse(CommandArguments arguments) {
        var seed =
                number(arguments, "seed", Long.MIN_VALUE, Long.MAX_VALUE)
                        .orElseThrow(() -> usageError("--seed: missing"));
        var days =
                number(arguments, "days", 1, Integer.MAX_VALUE)
                        .orElseThrow(() -> usageError("--days: missing"));
        var members =
                number(arguments, "members", 1, Integer.MAX_VALUE)
                        .map(Long::intValue)
                        .orElse(DEFAULT_CLUSTER_SIZE);
        if (!CLUSTER_SIZES.contains(members)) {
            throw usageError("--members: " + members + " is none of 3, 5 and 9");
        }
        var steps = number(arguments, "steps", 1, Long.MAX_VALUE).orElse(Simulation.MOST_STEPS);
        return new Simulation.Options(seed, days.intValue(), members, steps, kinds(arguments));
    }

    private static Optional<Long> number(
            CommandArguments arguments, String option, long least, long most) {
        return arguments.option(option).map(text -> parseNumber(option, text, least, most));
    }

    private static long parseNumber(String option, String text, long least, long most) {
        try {
            var value = Long.parseLong(text.trim());
            if (value < least || value > most) {
                throw usageError("--" + option + ": must be between " + least + " and " + most);
            }
            return value;
        } catch (NumberFormatException e) {
            throw usageError("--" + option + ": '" + text + "' is not a whole number");
        }
    }

    private static List<FaultKind> kinds(CommandArguments arguments) {
        return arguments
                .option("kinds")
                .map(SimulateCommand::parseKinds)
                .orElseGet(() -> List.of(FaultKind.values()));
    }

    private static List<FaultKind> parseKinds(String words) {
        return Arrays.stream(words.split(","))
                .map(word -> FaultKind.of(word.trim()).orElseThrow(() -> unknownKind(word)))
                .distinct()
                .toList();
    }

    private static UsageException unknownKind(String word) {
        var known =
                Arrays.stream(FaultKind.values())
                        .map(FaultKind::word)
                        .collect(Collectors.joining(", "));
        return usageError("--kinds: '" + word + "' is none of " + known);
    }

    private static UsageException usageError(String reason) {
        return CommandArguments.usageError("simulate " + reason);
    }
}
