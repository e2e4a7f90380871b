package martenloom.simulation.history;

/** What has to hold after every step of a simulated day. */
public enum Invariant {
    /** Members that commit the same edition commit the same state. */
    ONE_STATE_PER_EDITION,
    /** A revision number, and a base revision, has one configuration that takes it. */
    ONE_WINNER,
    /** A call that answers 200 sees everything that was acknowledged, or read, before it began. */
    LINEARIZABLE,
    /** What was acknowledged to a caller has been committed, and is the caller's own order. */
    OWN_ANSWER,
    /**
     * A configuration that was taken is never refused when it is sent again, and a refused one is
     * never taken.
     */
    REPEATABLE_ORDER,
    /** A copy of an order does not act after a later, opposite order was acknowledged. */
    NO_STALE_ORDER,
    /** In one view, one life of one member acknowledges. */
    ONE_HEAD_PER_VIEW,
    /** Any majority of a roster meets any majority of the next one. */
    MAJORITIES_MEET,
    /**
     * A grant number of a lease goes to one holder, and an older one is not handed out after a
     * newer one.
     */
    FENCED_LEASE,
    /** A member that is up, with nothing else wrong, is level within a bound. */
    LEVEL,
    /** Once it is calm, a configuration is acknowledged within a bound. */
    PROGRESS,
    /** The code under test does not throw. */
    NO_EXCEPTION
}
