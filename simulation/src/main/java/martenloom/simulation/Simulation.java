package martenloom.simulation;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import martenloom.simulation.schedule.FaultKind;
import martenloom.simulation.schedule.FaultSchedule;

/**
 * Runs days of drawn schedules one after the other, and prints progress, a summary, and a shrunk
 * schedule on a violation.
 */
public final class Simulation {
    /** Enough for any day of a schedule that is drawn here. */
    public static final long MOST_STEPS = 5_000_000;

    private static final int PROGRESS_EVERY = 50;

    /** What daemons log when something goes wrong: here that is brought about on purpose. */
    private static final Logger LOG = Logger.getLogger("martenloom");

    /**
     * What to run.
     *
     * @param seed the seed of the first day; each next day has the next seed
     * @param days how many days
     * @param members how many machines count
     * @param steps the most steps of a day
     * @param kinds the kinds of trouble to draw from
     */
    public record Options(long seed, int days, int members, long steps, List<FaultKind> kinds) {}

    private final Options options;
    private final PrintStream out;
    private final Map<FaultKind, Integer> broughtAbout = new EnumMap<>(FaultKind.class);
    private long steps;

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
        for (var i = 0; i < options.days; i++) {
            var schedule = FaultSchedule.draw(options.seed + i, options.members, options.kinds);
            var day = DayResult.run(schedule, options.steps);
            count(day);
            if (day.violation().isPresent()) {
                return Optional.of(report(day, i + 1));
            }
            if ((i + 1) % PROGRESS_EVERY == 0) {
                out.printf("%d of %d days, %d steps%n", i + 1, options.days, steps);
            }
        }
        summary(options.days);
        return Optional.empty();
    }

    private void count(DayResult day) {
        steps += day.steps();
        day.broughtAbout().forEach(k -> broughtAbout.merge(k, 1, Integer::sum));
    }

    private DayResult report(DayResult day, int days) {
        out.printf(
                "day %d of seed %d with %d members breaks an invariant%n",
                days, day.schedule().seed(), options.members);
        out.println(day.violation().get().getMessage());
        var shrunk = new ScheduleShrinker(s -> DayResult.run(s, options.steps)).shrink(day);
        out.printf(
                "shrunk from %d to %d troubles:%n%s%n",
                day.schedule().troubles().size(),
                shrunk.schedule().troubles().size(),
                shrunk.schedule());
        out.println(shrunk.violation().get().getMessage());
        summary(days);
        return shrunk;
    }

    private void summary(int days) {
        out.printf(
                "%d days of %d members, %d steps; share of days with each kind of trouble:%n",
                days, options.members, steps);
        for (var kind : options.kinds) {
            out.printf(
                    "  %-20s %3d %%%n",
                    kind.word(), 100 * broughtAbout.getOrDefault(kind, 0) / Math.max(1, days));
        }
    }
}
