package martenloom.autoscaler;

/**
 * Decides how many replicas one model should have in one region, after Baseten's autoscaling
 * documentation: requests in flight are sampled over a window and averaged; at its end the average
 * divided by the effective capacity of a replica (concurrency target times target utilization),
 * rounded up and held between floor and ceiling, is what is wanted. More is wanted: at once. Less:
 * only when it stayed less for a whole delay, and then at most a part of what runs, and the delay
 * begins anew. Driven by the caller's clock; no input or output. A new machine starts its window
 * and its delay anew.
 */
public final class ScaleMachine {
    /**
     * STEADY: what is wanted is there. WAITING: less is wanted and the delay runs. HELD: the core
     * refused the last decision.
     */
    public enum Phase {
        STEADY,
        WAITING,
        HELD
    }

    /** What a replica can take and how many there are, as far as the caller knows. */
    public record Fleet(int registered, int running, int capacity) {}

    private static final long NOT_LOW = -1;

    private ScaleSettings settings;
    private int desired;
    private Phase phase = Phase.STEADY;
    private String why = "a new holder goes on from what runs";
    private long windowFromUs;
    private long sum;
    private long samples;
    private boolean thin;
    private double average;
    private int wanted;
    private long lowSinceUs = NOT_LOW;

    public ScaleMachine(ScaleSettings p, int desired, long now) {
        settings = p;
        this.desired = desired;
        wanted = desired;
        windowFromUs = now;
    }

    public void adopt(ScaleSettings p) {
        settings = p;
    }

    /**
     * While nothing was ever lowered, all that is registered is desired, whatever comes and goes.
     */
    public void follow(int registered) {
        desired = registered;
    }

    public int desired() {
        return desired;
    }

    public Phase phase() {
        return phase;
    }

    public String why() {
        return why;
    }

    public double average() {
        return average;
    }

    public int wanted() {
        return wanted;
    }

    /** What is left of the delay, or 0 when none runs. */
    public long delayLeftUs(long now) {
        return lowSinceUs == NOT_LOW
                ? 0
                : Math.max(0, lowSinceUs + settings.delayS() * 1_000_000L - now);
    }

    private void become(Phase p, String w) {
        phase = p;
        why = w;
    }

    /**
     * Takes one sample: the requests in flight, and whether enough edges were heard to rely on it
     * for less. Gives true when a decision is due: at the window's end, or at once when nothing
     * runs and somebody waits.
     */
    public boolean sample(int inFlight, boolean enough, long now) {
        sum += inFlight;
        samples++;
        thin |= !enough;
        return now - windowFromUs >= settings.windowS() * 1_000_000L
                || desired == 0 && inFlight > 0;
    }

    /** Effective capacity of a replica: the target times the utilization. */
    private double effective(Fleet f) {
        return (settings.target() > 0 ? settings.target() : Math.max(1, f.capacity))
                * settings.utilizationPercent()
                / 100.0;
    }

    public static int wanted(double average, double effective) {
        return (int) Math.ceil(average / effective - 1e-9);
    }

    private int clamp(int n, Fleet f) {
        var top =
                settings.ceiling() > 0 ? Math.min(settings.ceiling(), f.registered) : f.registered;
        return Math.min(top, Math.max(settings.floor(), n));
    }

    /** Ends the window and says how many replicas there should be from now on. */
    public int decide(Fleet f, long now) {
        average = samples == 0 ? 0 : (double) sum / samples;
        var poor = thin || samples == 0;
        windowFromUs = now;
        sum = 0;
        samples = 0;
        thin = false;
        wanted = clamp(wanted(average, effective(f)), f);
        if (wanted > desired) {
            lowSinceUs = NOT_LOW;
            become(Phase.STEADY, "up from " + desired + " at once");
            desired = wanted;
        } else if (wanted == desired) {
            lowSinceUs = NOT_LOW;
            become(Phase.STEADY, "as many as wanted");
        } else if (poor) {
            lowSinceUs = NOT_LOW;
            become(Phase.STEADY, "too few edges were heard to lower");
        } else {
            lower(f, now);
        }
        return desired;
    }

    private void lower(Fleet f, long now) {
        if (lowSinceUs == NOT_LOW) {
            lowSinceUs = now;
        }
        if (now - lowSinceUs < settings.delayS() * 1_000_000L) {
            become(Phase.WAITING, wanted + " would do; the delay runs");
            return;
        }
        var n = step(desired - wanted, Math.min(desired, Math.max(1, f.running)));
        become(Phase.WAITING, "down by " + n + " from " + desired + "; the delay begins anew");
        desired -= n;
        lowSinceUs = desired == wanted ? NOT_LOW : now;
        if (desired == wanted) {
            become(Phase.STEADY, "down to what is wanted");
        }
    }

    /**
     * How many go at once: the part of what is too many, never over that part of what runs, and one
     * at least.
     */
    private int step(int excess, int running) {
        var part = settings.stepPercent() / 100.0;
        return Math.max(
                1,
                Math.min(
                        (int) Math.ceil(excess * part - 1e-9),
                        (int) Math.floor(running * part + 1e-9)));
    }

    /** The core refused: what is in force there stays, and the delay begins anew. */
    public void refused(int inForce, String reason, long now) {
        desired = inForce;
        lowSinceUs = NOT_LOW;
        become(Phase.HELD, reason);
    }
}
