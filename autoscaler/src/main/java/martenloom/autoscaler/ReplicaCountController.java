package martenloom.autoscaler;

/**
 * Decides how many replicas one model should have in one region, after Baseten's documentation of
 * its autoscaler. Requests in flight are sampled over a window and averaged. At the end of the
 * window, the average divided by the effective capacity of a replica (concurrency target times
 * target utilization), rounded up and kept between floor and ceiling, is the number wanted.
 *
 * <p>If more are wanted than desired, they are desired at once. If fewer are wanted, the number
 * desired goes down only when that has been so for a whole delay, in a step that takes away at most
 * a part of the replicas; then the delay begins again. See {@link ScalingPhase} for the states. A
 * new controller starts its window and its delay anew.
 *
 * <p>Driven by the caller's clock (microseconds), without input or output. Not thread-safe.
 */
public final class ReplicaCountController {
    private static final long US_PER_S = 1_000_000;
    private static final double PERCENT = 100.0;

    /** Keeps a rounding error from adding a replica or taking one away. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final long NOT_LOW = -1;

    private ScalingSettings settings;

    /** How many replicas there should be. */
    private int desired;

    private ScalingPhase phase = ScalingPhase.STEADY;
    private String reason = "a new holder goes on from what runs";
    private long windowStartUs;

    /** The sum of the samples in this window. */
    private long sum;

    private long samples;

    /** Whether some sample of this window came from too few edges. */
    private boolean incomplete;

    /** Requests in flight, averaged over the last window. */
    private double average;

    /** How many replicas the last window called for. */
    private int wanted;

    /** Since when fewer have been wanted than desired, or {@link #NOT_LOW}. */
    private long lowSinceUs = NOT_LOW;

    /**
     * @param desired how many replicas there should be for now
     */
    public ReplicaCountController(ScalingSettings settings, int desired, long nowUs) {
        this.settings = settings;
        this.desired = desired;
        wanted = desired;
        windowStartUs = nowUs;
    }

    /** Takes new settings, which count from now on. */
    public void updateSettings(ScalingSettings update) {
        settings = update;
    }

    /** Desires all that is registered; for a model that was never scaled down. */
    public void trackRegistered(int registered) {
        desired = registered;
    }

    public int desired() {
        return desired;
    }

    public ScalingPhase phase() {
        return phase;
    }

    /** Why the last decision was taken, for the operator. */
    public String reason() {
        return reason;
    }

    public double average() {
        return average;
    }

    public int wanted() {
        return wanted;
    }

    /** What is left of the delay before scaling down, or 0 when it does not run. */
    public long delayLeftUs(long nowUs) {
        return lowSinceUs == NOT_LOW ? 0 : Math.max(0, lowSinceUs + delayUs() - nowUs);
    }

    private long delayUs() {
        return settings.delayS() * US_PER_S;
    }

    private void enter(ScalingPhase newPhase, String newReason) {
        phase = newPhase;
        reason = newReason;
    }

    /**
     * Takes one sample. True when a decision is due: at the end of the window, or at once when
     * nothing runs and a request waits.
     *
     * @param inFlight the requests in flight
     * @param complete whether enough edges were heard to scale down by this sample
     */
    public boolean sample(int inFlight, boolean complete, long nowUs) {
        sum += inFlight;
        samples++;
        incomplete |= !complete;
        return nowUs - windowStartUs >= settings.windowS() * US_PER_S
                || desired == 0 && inFlight > 0;
    }

    private double effectiveCapacity(ReplicaCounts counts) {
        var target = settings.target() > 0 ? settings.target() : Math.max(1, counts.capacity());
        return target * settings.utilizationPercent() / PERCENT;
    }

    /** How many replicas of this effective capacity the average calls for. */
    public static int wanted(double average, double effectiveCapacity) {
        return (int) Math.ceil(average / effectiveCapacity - ROUNDING_TOLERANCE);
    }

    private int bounded(int count, ReplicaCounts counts) {
        var most =
                settings.ceiling() > 0
                        ? Math.min(settings.ceiling(), counts.registered())
                        : counts.registered();
        return Math.min(most, Math.max(settings.floor(), count));
    }

    /** Ends the window and returns how many replicas there should be from now on. */
    public int decide(ReplicaCounts counts, long nowUs) {
        average = samples == 0 ? 0 : (double) sum / samples;
        var unreliable = incomplete || samples == 0;
        windowStartUs = nowUs;
        sum = 0;
        samples = 0;
        incomplete = false;
        wanted = bounded(wanted(average, effectiveCapacity(counts)), counts);
        if (wanted > desired) {
            lowSinceUs = NOT_LOW;
            enter(ScalingPhase.STEADY, "up from " + desired + " at once");
            desired = wanted;
        } else if (wanted == desired) {
            lowSinceUs = NOT_LOW;
            enter(ScalingPhase.STEADY, "as many as wanted");
        } else if (unreliable) {
            lowSinceUs = NOT_LOW;
            enter(ScalingPhase.STEADY, "too few edges were heard to lower");
        } else {
            scaleDown(counts, nowUs);
        }
        return desired;
    }

    private void scaleDown(ReplicaCounts counts, long nowUs) {
        if (lowSinceUs == NOT_LOW) {
            lowSinceUs = nowUs;
        }
        if (nowUs - lowSinceUs < delayUs()) {
            enter(ScalingPhase.WAITING, wanted + " would do; the delay runs");
            return;
        }
        var step = stepDown(desired - wanted, Math.min(desired, Math.max(1, counts.running())));
        enter(
                ScalingPhase.WAITING,
                "down by " + step + " from " + desired + "; the delay begins anew");
        desired -= step;
        lowSinceUs = desired == wanted ? NOT_LOW : nowUs;
        if (desired == wanted) {
            enter(ScalingPhase.STEADY, "down to what is wanted");
        }
    }

    /**
     * How many go in one step: the configured part of the excess, never more than that part of what
     * runs, and at least one.
     */
    private int stepDown(int excess, int running) {
        var part = settings.stepPercent() / PERCENT;
        var ofExcess = (int) Math.ceil(excess * part - ROUNDING_TOLERANCE);
        var ofRunning = (int) Math.floor(running * part + ROUNDING_TOLERANCE);
        return Math.max(1, Math.min(ofExcess, ofRunning));
    }

    /**
     * The core has rejected the decision: what is in force there is desired, and the delay begins
     * again.
     */
    public void rejected(int inForce, String rejectionReason, long nowUs) {
        desired = inForce;
        lowSinceUs = NOT_LOW;
        enter(ScalingPhase.HELD, rejectionReason);
    }
}
