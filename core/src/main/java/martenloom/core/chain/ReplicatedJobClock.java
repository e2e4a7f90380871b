package martenloom.core.chain;

import martenloom.core.state.ClusterState;

/**
 * The clock of deferred jobs at one member: goes on from the time in the replicated state by the
 * member's own steady clock.
 */
final class ReplicatedJobClock {
    /** When this member came to hold its present state, by its steady clock. */
    private long heldSinceUs;

    /** How long the process was down before its start, until a newer state makes up for it. */
    private long downtimeUs;

    ReplicatedJobClock(long nowUs) {
        heldSinceUs = nowUs;
    }

    void setDowntimeUs(long lengthUs) {
        downtimeUs = lengthUs;
    }

    /** The member holds a newer state from now on. */
    void onNewState(long nowUs) {
        heldSinceUs = nowUs;
        downtimeUs = 0;
    }

    long timeUs(ClusterState state, long nowUs) {
        return state.jobs().clockUs() + Math.max(0, nowUs - heldSinceUs) + downtimeUs;
    }
}
