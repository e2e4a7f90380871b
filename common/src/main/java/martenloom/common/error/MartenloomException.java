package martenloom.common.error;

/**
 * The base of all exceptions that this project throws. It says by code what kind of thing went
 * wrong, at which step, and with which peer, so that one printed line is enough to look in the
 * right place. It carries no stack trace: its message is for an operator.
 */
public abstract class MartenloomException extends RuntimeException {
    /** The peer of an error that arose without one. */
    protected static final String NO_PEER = "here";

    private final ErrorCode code;
    private final String step;
    private final String peer;

    /**
     * @param code the part of the system that failed
     * @param step what was being done
     * @param peer the address of the daemon or replica concerned, or {@link #NO_PEER}
     * @param reason why it failed, in one line
     */
    protected MartenloomException(ErrorCode code, String step, String peer, String reason) {
        super(
                code + " at " + step + " with " + peer + ": " + reason,
                (Throwable) null,
                false,
                false);
        this.code = code;
        this.step = step;
        this.peer = peer;
    }

    /** The part of the system that failed. */
    public final ErrorCode code() {
        return code;
    }

    /** What was being done. */
    public final String step() {
        return step;
    }

    /** The address of the daemon or replica concerned, or {@code here}. */
    public final String peer() {
        return peer;
    }
}
