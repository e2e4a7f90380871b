package martenloom.core.chain;

/**
 * What a chain member is doing; exactly one role at any time. The transitions:
 *
 * <pre>
 * LEARNER                --(a view has taught it the state)-----------------> FOLLOWER
 * IDLE, FOLLOWER         --(no contact with a head for long enough)---------> CANDIDATE
 * FOLLOWER               --(its head hands over to it)----------------------> CANDIDATE
 * CANDIDATE              --(a majority promised)----------------------------> ACTIVATING_VIEW
 * ACTIVATING_VIEW        --(the whole chain accepted the state)-------------> HEAD
 * ACTIVATING_VIEW, HEAD  --(no acknowledgement in time, or members change)--> CANDIDATE
 * ACTIVATING_VIEW, HEAD  --(its disk stalls, or its ballot is rejected)-----> IDLE
 * CANDIDATE              --(rejected, timed out, or outside the roster)-----> IDLE
 * all but LEARNER        --(promises a higher ballot)-----------------------> IDLE
 * all but LEARNER        --(accepts the state of a view it may join)--------> FOLLOWER
 * IDLE                   --(a heartbeat of the view it last accepted)-------> FOLLOWER
 * </pre>
 */
public enum MemberRole {
    /** Its disk was empty at the start: promises nothing until a view has taught it the state. */
    LEARNER("LEARNING"),

    /** Takes part in no active view. */
    IDLE("IDLE"),

    /** Asks the roster for promises to its ballot. */
    CANDIDATE("BIDDING"),

    /** Has a majority of promises and sends the state that opens the view down its chain. */
    ACTIVATING_VIEW("STARTING"),

    /** Heads an active view: the only role in which requests are decided. */
    HEAD("HEADING"),

    /** Has accepted the state of a view that another member heads. */
    FOLLOWER("FOLLOWING");

    private final String label;

    MemberRole(String label) {
        this.label = label;
    }

    /** The role as the operator's shell prints it. */
    public String label() {
        return label;
    }
}
