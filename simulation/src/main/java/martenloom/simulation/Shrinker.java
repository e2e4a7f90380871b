package martenloom.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Makes a schedule that breaks an invariant shorter: leaves out halves, quarters and so on down to
 * single troubles, as long as the same invariant stays broken. Everything that is not a trouble is
 * drawn from the same seed.
 */
public final class Shrinker {
    private static final int MOST_RUNS = 200;
    private final long mostSteps;
    private int runs;

    public Shrinker(long mostSteps) {
        this.mostSteps = mostSteps;
    }

    /** The shortest failing day that was found. */
    public Day shrink(Day failing) {
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
    private Day without(Day day, int size) {
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

    private Day run(Schedule schedule, List<Trouble> kept) {
        runs++;
        return Day.run(schedule.with(kept), mostSteps);
    }

    private static boolean sameFault(Day a, Day b) {
        return b.violation().isPresent()
                && b.violation().get().invariant() == a.violation().get().invariant();
    }
}
