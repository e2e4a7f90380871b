package martenloom.edge.replica;

/**
 * Outlier detection for one replica, by the outcomes of real requests. A replica may fail part of
 * its requests while it reports that it is well, for all callers or only for some, so its own
 * report counts for nothing here: answers do, those to this edge and those to the edges of our
 * zone. One that fails too large a share is ejected for a while; it recovers with a cost that wears
 * off, and is ejected for twice as long if it fails again, up to a bound.
 *
 * <p>{@code HEALTHY -> EJECTED -> RECOVERING -> HEALTHY}, or back from {@code RECOVERING} to {@code
 * EJECTED}. No input or output, no clock. Runs on the reactor thread.
 */
public final class ReplicaHealth {
    /** Whether a replica is used, ejected, or used again at a cost. */
    public enum State {
        HEALTHY,
        EJECTED,
        RECOVERING
    }

    /** The length of a window of outcomes; the present one and the one before count. */
    private static final long WINDOW_US = 1_500_000;

    static final long MIN_EJECTION_US = 2_000_000;
    static final long MAX_EJECTION_US = 8_000_000;
    private static final long RECOVERY_US = 2_000_000;

    /** An ejection within this time of the last one lasts for twice as long. */
    private static final long EJECTION_MEMORY_US = 20_000_000;

    /** How long after the end of an ejection outcomes are those of requests from before it. */
    private static final long IGNORE_OUTCOMES_US = WINDOW_US * 2 / 3;

    private static final int MIN_FAILURES = 3;
    private static final double MAX_FAILURE_RATE = 0.25;
    private static final double RECOVERY_COST_US = 40_000;

    private State state = State.HEALTHY;

    /** When the state ends, in microseconds; of no meaning while healthy. */
    private long stateEndUs;

    private long window;
    private int successes;
    private int failures;
    private int previousSuccesses;
    private int previousFailures;
    private long ejectionUs;
    private long ejectedAtUs;

    /** In microseconds; see {@link #IGNORE_OUTCOMES_US}. */
    private long ignoreOutcomesUntilUs;

    private void advanceWindow(long now) {
        var current = now / WINDOW_US;
        if (current != window) {
            previousSuccesses = current == window + 1 ? successes : 0;
            previousFailures = current == window + 1 ? failures : 0;
            successes = 0;
            failures = 0;
            window = current;
        }
    }

    /** Takes the outcome of a request. */
    public void onOutcome(boolean success, long now) {
        advanceWindow(now);
        successes += success ? 1 : 0;
        failures += success ? 0 : 1;
    }

    /** The requests that succeeded lately. */
    public int successes(long now) {
        advanceWindow(now);
        return successes + previousSuccesses;
    }

    /** The requests that failed lately. */
    public int failures(long now) {
        advanceWindow(now);
        return failures + previousFailures;
    }

    /** Whether these recent outcomes are reason to eject a replica. */
    public static boolean exceedsFailureRate(int successes, int failures) {
        return failures >= MIN_FAILURES && failures >= MAX_FAILURE_RATE * (successes + failures);
    }

    /**
     * Whether these recent outcomes make the replica an outlier. One that is ejected, or has just
     * come back, is not judged by what it did before.
     */
    public boolean isOutlier(int recentSuccesses, int recentFailures, long now) {
        advanceState(now);
        return state != State.EJECTED
                && now >= ignoreOutcomesUntilUs
                && exceedsFailureRate(recentSuccesses, recentFailures);
    }

    /** Ejects the replica. */
    public void eject(long now) {
        var again = ejectedAtUs > 0 && now - ejectedAtUs < EJECTION_MEMORY_US;
        ejectionUs = again ? Math.min(MAX_EJECTION_US, ejectionUs * 2) : MIN_EJECTION_US;
        ejectedAtUs = now;
        become(State.EJECTED, now + ejectionUs);
    }

    private void become(State next, long endUs) {
        state = next;
        stateEndUs = endUs;
        if (next == State.RECOVERING) {
            ignoreOutcomesUntilUs = endUs - RECOVERY_US + IGNORE_OUTCOMES_US;
            successes = 0;
            failures = 0;
            previousSuccesses = 0;
            previousFailures = 0;
        }
    }

    private void advanceState(long now) {
        if (state == State.EJECTED && now >= stateEndUs) {
            become(State.RECOVERING, stateEndUs + RECOVERY_US);
        }
        if (state == State.RECOVERING && now >= stateEndUs) {
            become(State.HEALTHY, 0);
        }
    }

    /** The state at a moment. */
    public State state(long now) {
        advanceState(now);
        return state;
    }

    /** Whether the replica is ejected at a moment. */
    public boolean isEjected(long now) {
        return state(now) == State.EJECTED;
    }

    /** What is added to the predicted latency while the replica recovers, in microseconds. */
    public double recoveryCostUs(long now) {
        return state(now) == State.RECOVERING
                ? RECOVERY_COST_US * (stateEndUs - now) / RECOVERY_US
                : 0;
    }
}
