package martenloom.core.edge;

import java.util.function.BooleanSupplier;
import martenloom.core.chain.ChainMember;

/**
 * How fit this daemon is to be the home of an edge, as it reports it: its age, the staleness of
 * what it knows, and the edition of the state it has. Edges choose the freshest home. Runs on the
 * reactor thread.
 */
public final class HomeFreshness {
    /** Added to the age of a daemon that has restored replicas from its disk. */
    private static final long RESTORED_AGE_US = 10_000_000;

    /** The staleness that is reported during the shutdown, so that edges choose another home. */
    private static final long SHUTDOWN_STALENESS_US = 3_600_000_000L;

    private final ChainMember chain;
    private final BooleanSupplier shuttingDown;
    private final long ageCountsFromUs;

    /**
     * @param startedUs when this daemon started
     * @param restored whether it has restored replicas from its disk
     */
    public HomeFreshness(
            ChainMember chain, BooleanSupplier shuttingDown, long startedUs, boolean restored) {
        this.chain = chain;
        this.shuttingDown = shuttingDown;
        ageCountsFromUs = restored ? startedUs - RESTORED_AGE_US : startedUs;
    }

    /** For how long this daemon has been collecting what it knows of the replicas. */
    long ageUs(long nowUs) {
        return nowUs - ageCountsFromUs;
    }

    /** How long ago a majority was last known to hold together. */
    long stalenessUs(long nowUs) {
        return shuttingDown.getAsBoolean() ? SHUTDOWN_STALENESS_US : chain.stalenessUs(nowUs);
    }

    /** The edition of the committed state. */
    long edition() {
        return chain.committed().edition();
    }
}
