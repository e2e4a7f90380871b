package martenloom.simulation;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import martenloom.simulation.history.InvariantViolation;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;

/**
 * Runs days of drawn schedules one after the other, and prints progress, a summary, and a shrunk
 * schedule on a violation. Made for one use.
 */
public final class Simulation {
    /** Enough for any day of a schedule that is drawn here. */
    public static final long MOST_STEPS = 5_000_000;

    private static final int PROGRESS_EVERY_DAYS = 50;
    private static final int PERCENT = 100;

    /** The log of the code under test, which here meets faults that are injected on purpose. */
    private static final Logger LOG = Logger.getLogger("martenloom");

    /**
     * What to run.
     *
     * @param seed the seed of the first day; each next day has the next seed
     * @param days how many days
     * @param members how many members the cluster has
     * @param steps the most events of a day
     * @param kinds the kinds of fault to draw from
     */
    public record Options(long seed, int days, int members, long steps, List<FaultKind> kinds) {}

    private final Options options;
    private final PrintStream out;

    /** For each kind: on how many days it was injected. */
    private final Map<FaultKind, Integer> daysByKind = new EnumMap<>(FaultKind.class);

    private long steps;

    /** A simulation that prints to the given stream. */
    public Simulation(Options options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Stops at the first day that breaks an invariant, and returns it shrunk. */
    public Optional<DayResult> run() {
        var level = LOG.getLevel();
        LOG.setLevel(Level.OFF);
        try {
            return runDays();
        } finally {
            LOG.setLevel(level);
        }
    }

    private Optional<DayResult> runDays() {
        for (var days = 1; days <= options.days; days++) {
            var seed = options.seed + days - 1;
            var day = run(FaultSchedule.draw(seed, options.members, options.kinds));
            count(day);
            if (day.violation().isPresent()) {
                return Optional.of(report(day, day.violation().get(), days));
            }
            if (days % PROGRESS_EVERY_DAYS == 0) {
                out.printf("%d of %d days, %d steps%n", days, options.days, steps);
            }
        }
        printSummary(options.days);
        return Optional.empty();
    }

    private DayResult run(FaultSchedule schedule) {
        return SimulatedDay.run(schedule, options.steps);
    }

    private void count(DayResult day) {
        steps += day.steps();
        day.injectedKinds().forEach(kind -> daysByKind.merge(kind, 1, Integer::sum));
    }

    private DayResult report(DayResult day, InvariantViolation violation, int days) {
        out.printf(
                "day %d of seed %d with %d members breaks an invariant%n",
                days, day.schedule().seed(), options.members);
        out.println(violation.getMessage());
        var shrunk = new ScheduleShrinker(this::run).shrink(day);
        out.printf(
                "shrunk from %d to %d faults:%n%s%n",
                day.schedule().faults().size(),
                shrunk.schedule().faults().size(),
                shrunk.schedule());
        out.println(shrunk.violation().orElse(violation).getMessage());
        printSummary(days);
        return shrunk;
    }

    private void printSummary(int days) {
        out.printf(
                "%d days of %d members, %d steps; share of days with each kind of fault:%n",
                days, options.members, steps);
        for (var kind : options.kinds) {
            var share = PERCENT * daysByKind.getOrDefault(kind, 0) / Math.max(1, days);
            out.printf("  %-20s %3d %%%n", kind.word(), share);
        }
    }
}
