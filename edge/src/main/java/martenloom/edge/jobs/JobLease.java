package martenloom.edge.jobs;

import java.util.function.BooleanSupplier;

/**
 * The lease of the role of running the region's jobs, as this edge knows it. Runs on the reactor
 * thread.
 */
final class JobLease {
    private final BooleanSupplier held;
    private long fencingToken;

    JobLease(BooleanSupplier held) {
        this.held = held;
    }

    /**
     * Takes the fencing token of a grant or of its renewal.
     *
     * @return whether it is another one
     */
    boolean renew(long newToken) {
        var changed = newToken != fencingToken;
        fencingToken = newToken;
        return changed;
    }

    /** The fencing token of the last grant, whether its lease runs or not. */
    long fencingToken() {
        return fencingToken;
    }

    boolean isHeld() {
        return held.getAsBoolean();
    }

    /** Whether the lease is held, and by the grant with this fencing token. */
    boolean isHeldWith(long token) {
        return isHeld() && token == fencingToken;
    }
}
