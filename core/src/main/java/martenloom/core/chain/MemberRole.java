package martenloom.core.chain;

/**
 * What a chain member is doing; exactly one role at any time. The transitions:
 *
 * <pre>
 * LEARNER ----------(a view teaches it the state)------------> FOLLOWER
 * IDLE, FOLLOWER ---(no head heard for long enough)----------> CANDIDATE
 * HEAD, ACTIVATING_VIEW --(the view does not hold, or must change)--> CANDIDATE
 * CANDIDATE --------(a majority promised)--------------------> ACTIVATING_VIEW
 * ACTIVATING_VIEW --(the whole chain accepted the state)-----> HEAD
 * any but LEARNER --(promises a higher ballot, loses its election, or its disk stalls)--> IDLE
 * IDLE, any lower view --(accepts a state or hears its head)-> FOLLOWER
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
