package martenloom.edge.overload;

import java.util.Map;
import java.util.TreeMap;

/**
 * The reacting half of overload reports after DOIC's loss algorithm, with no input or output: keeps
 * a reduction for each region and model. A newer report updates it, an equal or older one is
 * ignored, no report changes nothing, a validity of 0 or expiry ends it. Percentages of different
 * reports are never added. Runs on the reactor thread.
 */
public final class OverloadReceiver {
    private final Map<String, ReductionState> states = new TreeMap<>();

    /** The reductions, by region and model. */
    public Map<String, ReductionState> states() {
        return states;
    }

    /** The reduction of a region and model. */
    public ReductionState state(String key) {
        return states.computeIfAbsent(key, absent -> new ReductionState());
    }

    /**
     * Takes a report.
     *
     * @return whether it counts
     */
    public boolean onReport(OverloadReport report, long now) {
        var state = state(report.key());
        if (!report.isApplicable() || !state.isNewer(report)) {
            state.countStale();
            return false;
        }
        state.apply(report, now);
        return true;
    }

    /** Whether the next new prompt is to be withheld from a region and model. */
    public boolean selectNext(String key, long now) {
        return state(key).selectNext(now);
    }
}
