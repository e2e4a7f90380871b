package martenloom.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import martenloom.simulation.schedule.FaultSchedule;
import martenloom.simulation.schedule.ScheduledFault;

/**
 * Makes a schedule that breaks an invariant shorter: leaves out halves, quarters and so on down to
 * single troubles, as long as the same invariant stays broken. Everything that is not a trouble is
 * drawn from the same seed.
 */
public final class ScheduleShrinker {
    private static final int MOST_RUNS = 200;
    private final Function<FaultSchedule, DayResult> runner;
    private int runs;

    /** A shrinker that runs schedules with the given function. */
    public ScheduleShrinker(Function<FaultSchedule, DayResult> runner) {
        this.runner = runner;
    }

    /** The shortest failing day that was found. */
    public DayResult shrink(DayResult failing) {
        var best = failing;
        var size = Math.max(1, failing.schedule().troubles().size() / 2);
        while (runs < MOST_RUNS) {
            var shorter = without(best, size);
            if (shorter != best) {
                best = shorter;
            } else if (size == 1) {
                break;
            } else {
                size /= 2;
            }
        }
        return best;
    }

    /**
     * The first failing day with one run of so many neighbouring troubles left out; the same day if
     * there is none.
     */
    private DayResult without(DayResult day, int size) {
        var troubles = day.schedule().troubles();
        for (var from = 0; from < troubles.size() && runs < MOST_RUNS; from += size) {
            var kept = new ArrayList<>(troubles.subList(0, from));
            kept.addAll(troubles.subList(Math.min(troubles.size(), from + size), troubles.size()));
            var shorter = run(day.schedule(), kept);
            if (sameFault(day, shorter)) {
                return shorter;
            }
        }
        return day;
    }

    private DayResult run(FaultSchedule schedule, List<ScheduledFault> kept) {
        runs++;
        return runner.apply(schedule.with(kept));
    }

    private static boolean sameFault(DayResult a, DayResult b) {
        return b.violation().isPresent()
                && b.violation().get().invariant() == a.violation().get().invariant();
    }
}
