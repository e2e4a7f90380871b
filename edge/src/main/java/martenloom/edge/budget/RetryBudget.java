package martenloom.edge.budget;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * This edge's share of the budget that all daemons hold in common for further attempts. The share
 * needs no talk: the ratio is taken of the requests this edge itself had for a service, and the
 * slack is divided by the most edges ever known, so the sum keeps the rule when edges cannot hear
 * each other.
 */
public final class RetryBudget {
    private static final int SLICES = 20;

    private static final class Window {
        final int[] requests = new int[SLICES];
        final int[] repeats = new int[SLICES];
        long slice = -1;
    }

    private final double ratio;
    private final double slack;
    private final long sliceUs;
    private final Map<String, Window> windows = new HashMap<>();

    public RetryBudget(double ratio, double windowS, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        sliceUs = Math.max(1, (long) (windowS * 1_000_000 / (SLICES - 1)));
    }

    private Window at(String service, long now) {
        var w = windows.computeIfAbsent(service, k -> new Window());
        var s = now / sliceUs;
        for (var i = Math.max(w.slice + 1, s - SLICES + 1); i <= s; i++) {
            w.requests[(int) (i % SLICES)] = 0;
            w.repeats[(int) (i % SLICES)] = 0;
        }
        w.slice = s;
        return w;
    }

    public void request(String service, long now) {
        var w = at(service, now);
        w.requests[(int) (w.slice % SLICES)]++;
    }

    /** Takes one further attempt out of the budget, if it is there. */
    public boolean spend(String service, int edges, long now) {
        var w = at(service, now);
        var e = Arrays.stream(w.requests).sum();
        var r = Arrays.stream(w.repeats).sum();
        if (r + 1 > e * ratio * 0.7 + Math.floor(slack * 0.9 / Math.max(1, edges))) {
            return false;
        }
        w.repeats[(int) (w.slice % SLICES)]++;
        return true;
    }
}
