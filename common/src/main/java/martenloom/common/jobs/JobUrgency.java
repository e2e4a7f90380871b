package martenloom.common.jobs;

/**
 * How urgent a deferred job is, from the time that it has left. A more urgent job may be started
 * with less free capacity and is sent with a higher priority.
 */
public final class JobUrgency {
    private static final int RELAXED = 0;
    private static final int NORMAL = 1;
    private static final int PRESSING = 2;
    private static final int CRITICAL = 3;
    private static final long CRITICAL_US = 5_000_000;
    private static final long PRESSING_US = 20_000_000;

    /** A job is relaxed while more than one part in so many of its time is left. */
    private static final int RELAXED_DIVISOR = 2;

    /** A job is normal while more than one part in so many of its time is left. */
    private static final int NORMAL_DIVISOR = 5;

    /** A job is pressing at the latest when less than one part in so many of its time is left. */
    private static final int PRESSING_DIVISOR = 20;

    private JobUrgency() {}

    /**
     * The urgency from 0 to 3. 0: more than half of the time is left; 1: more than a fifth; 2: less
     * than that, or less than 20 s; 3: less than 5 s.
     *
     * @param leftUs the time until the deadline
     * @param totalUs the time from submission to deadline
     */
    public static int of(long leftUs, long totalUs) {
        if (leftUs < CRITICAL_US) {
            return CRITICAL;
        }
        if (leftUs < PRESSING_US && leftUs * RELAXED_DIVISOR < totalUs
                || leftUs * PRESSING_DIVISOR < totalUs) {
            return PRESSING;
        }
        if (leftUs * RELAXED_DIVISOR > totalUs) {
            return RELAXED;
        }
        return leftUs * NORMAL_DIVISOR > totalUs ? NORMAL : PRESSING;
    }
}
