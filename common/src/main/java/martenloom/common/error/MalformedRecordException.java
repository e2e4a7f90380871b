package martenloom.common.error;

/**
 * A record from another daemon is cut short or has a length out of bounds. The record is dropped;
 * the daemon that received it goes on.
 */
public final class MalformedRecordException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "check settings". */
    public MalformedRecordException(String step, String reason) {
        super(ErrorCode.RECORD, step, NO_PEER, reason);
    }
}
