package martenloom.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import martenloom.simulation.schedule.FaultSchedule;
import martenloom.simulation.schedule.ScheduledFault;

/**
 * Makes a schedule that breaks an invariant shorter: leaves out halves, quarters and so on down to
 * single faults, as long as the same invariant stays broken. Everything that is not a scheduled
 * fault is drawn from the same seed. Made for one use.
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
    @SuppressWarnings("ReferenceEquality") // the very same day says that no shorter one fails
    public DayResult shrink(DayResult failing) {
        var best = failing;
        var size = Math.max(1, failing.schedule().faults().size() / 2);
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
     * The first failing day with one run of so many neighbouring faults left out; the same day if
     * there is none.
     */
    private DayResult without(DayResult failing, int size) {
        var faults = failing.schedule().faults();
        for (var from = 0; from < faults.size() && runs < MOST_RUNS; from += size) {
            var kept = new ArrayList<>(faults.subList(0, from));
            kept.addAll(faults.subList(Math.min(faults.size(), from + size), faults.size()));
            var shorter = run(failing.schedule(), kept);
            if (isSameViolation(failing, shorter)) {
                return shorter;
            }
        }
        return failing;
    }

    private DayResult run(FaultSchedule schedule, List<ScheduledFault> kept) {
        runs++;
        return runner.apply(schedule.with(kept));
    }

    private static boolean isSameViolation(DayResult failing, DayResult other) {
        return other.violation().isPresent()
                && other.violation().get().invariant() == failing.violation().get().invariant();
    }
}
