package martenloom.simulation.network;

import martenloom.simulation.engine.RandomStream;

/** How well the network carries records just now: loss, duplicates and delays. */
public final class NetworkConditions {
    private static final int LATE_RECORD_ONE_IN = 200;
    private static final long SHORTEST_DELAY_US = 200;
    private static final long USUAL_DELAY_US = 12_000;
    private static final long SHORTEST_LATE_DELAY_US = 500;
    private static final long LONGEST_LATE_DELAY_US = 400_000;
    private static final long SHORTEST_SLOW_DELAY_US = 1_000;
    private static final long LONGEST_SLOW_DELAY_US = 1_500_000;

    private final RandomStream random;
    private double lossProbability;
    private double duplicateProbability;
    private boolean slow;

    NetworkConditions(RandomStream random) {
        this.random = random;
    }

    /** Sets the probability that a record is lost. */
    public void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /** Sets the probability that a record arrives a second time, late and out of order. */
    public void setDuplicateProbability(double probability) {
        duplicateProbability = probability;
    }

    /** Makes all records take long, or as long as usual again. */
    public void setSlow(boolean slow) {
        this.slow = slow;
    }

    /** Back to a network that neither loses nor duplicates nor is slow. */
    public void reset() {
        lossProbability = 0;
        duplicateProbability = 0;
        slow = false;
    }

    boolean drawLoss() {
        return random.chance(lossProbability);
    }

    boolean drawDuplicate() {
        return random.chance(duplicateProbability);
    }

    long drawDelayUs() {
        if (slow) {
            return random.between(SHORTEST_SLOW_DELAY_US, LONGEST_SLOW_DELAY_US);
        }
        return random.oneIn(LATE_RECORD_ONE_IN)
                ? random.between(SHORTEST_LATE_DELAY_US, LONGEST_LATE_DELAY_US)
                : random.between(SHORTEST_DELAY_US, USUAL_DELAY_US);
    }
}
