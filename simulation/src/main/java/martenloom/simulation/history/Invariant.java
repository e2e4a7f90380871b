package martenloom.simulation.history;

/** What has to hold after every step of a simulated day; the names are printed. */
public enum Invariant {
    /** Members that commit the same edition commit the same state. */
    ONE_STATE_PER_EDITION,
    /** A revision, and a base revision, is taken by one configuration. */
    ONE_WINNER,
    /** A successful call sees everything that was acknowledged, or read, before it began. */
    LINEARIZABLE,
    /** What was acknowledged to a client was committed, and is the client's own command. */
    OWN_ANSWER,
    /**
     * Commands are idempotent: a configuration that was taken is never rejected when it is sent
     * again, and a rejected one is never taken.
     */
    REPEATABLE_ORDER,
    /** A copy of a command does not act after a later, opposite command was acknowledged. */
    NO_STALE_ORDER,
    /** In one view, one incarnation of one member acknowledges. */
    ONE_HEAD_PER_VIEW,
    /** Any majority of a roster has a member in common with any majority of the next one. */
    MAJORITIES_MEET,
    /** One holder at a time for a lease; its fencing token rises with each new holder only. */
    FENCED_LEASE,
    /** A job that was acknowledged is part of every later state, with its body. */
    KEPT_JOB,
    /** In a calm cluster every member catches up within a bound. */
    LEVEL,
    /** In a calm cluster a configuration is acknowledged within a bound. */
    PROGRESS,
    /** The code under test does not throw. */
    NO_EXCEPTION;

    /** Throws a violation of this invariant unless the condition holds. */
    void check(boolean holds, String seen) {
        if (!holds) {
            throw new InvariantViolation(this, seen);
        }
    }
}
