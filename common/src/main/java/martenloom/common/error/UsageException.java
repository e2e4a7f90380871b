package martenloom.common.error;

/** The command line or a query is not understood. The message says what is expected. */
public final class UsageException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "read command line". */
    public UsageException(String step, String reason) {
        super(ErrorCode.USAGE, step, NO_PEER, reason);
    }
}
