package martenloom.common.error;

/** A peer or an address could not be reached, or a listening socket not opened. May be retried. */
public final class LinkException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "open link". */
    public LinkException(String step, String reason) {
        super(ErrorCode.LINK, step, NO_PEER, reason);
    }

    /** An error with another daemon; {@code peer} is its address. */
    public LinkException(String step, String peer, String reason) {
        super(ErrorCode.LINK, step, peer, reason);
    }
}
