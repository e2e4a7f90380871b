package martenloom.edge.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * This edge's share of the retry budget that all daemons have in common. The share needs no
 * coordination: the ratio is taken of the requests that this edge itself had for a service, and the
 * slack is divided by the most edges ever known, so the sum keeps the rule when edges cannot hear
 * each other. Runs on the reactor thread.
 */
public final class RetryBudget {
    /** The slices of a window, one more than its length, for the present slice is not full. */
    private static final int SLICES = 20;

    private static final int US_PER_SECOND = 1_000_000;

    /** The part of the ratio and of the slack that is used; the rest covers what is in flight. */
    private static final double USED_RATIO = 0.7;

    private static final double USED_SLACK = 0.9;

    /** The requests and retries of one service, by slices of time. */
    private static final class Window {
        private final int[] requests = new int[SLICES];
        private final int[] retries = new int[SLICES];
        private long slice = -1;

        private void advance(long current) {
            for (var i = Math.max(slice + 1, current - SLICES + 1); i <= current; i++) {
                requests[(int) (i % SLICES)] = 0;
                retries[(int) (i % SLICES)] = 0;
            }
            slice = current;
        }

        private int index() {
            return (int) (slice % SLICES);
        }

        private static int sum(int[] counts) {
            var sum = 0;
            for (var count : counts) {
                sum += count;
            }
            return sum;
        }
    }

    private final double ratio;
    private final double slack;
    private final long sliceUs;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates an unspent budget.
     *
     * @param ratio the retries that are allowed for each request
     * @param windowS the length of the window in which both are counted, in seconds
     * @param slack the retries that are allowed besides, at all edges together
     */
    public RetryBudget(double ratio, double windowS, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        sliceUs = Math.max(1, (long) (windowS * US_PER_SECOND / (SLICES - 1)));
    }

    private Window window(String service, long now) {
        var window = windows.computeIfAbsent(service, absent -> new Window());
        window.advance(now / sliceUs);
        return window;
    }

    /** A request for a service came. */
    public void onRequest(String service, long now) {
        var window = window(service, now);
        window.requests[window.index()]++;
    }

    /**
     * Takes one retry out of the budget.
     *
     * @param edges the most edges ever known
     * @return whether the budget had it
     */
    public boolean trySpend(String service, int edges, long now) {
        var window = window(service, now);
        var requests = Window.sum(window.requests);
        var retries = Window.sum(window.retries);
        if (retries + 1
                > requests * ratio * USED_RATIO
                        + Math.floor(slack * USED_SLACK / Math.max(1, edges))) {
            return false;
        }
        window.retries[window.index()]++;
        return true;
    }
}
