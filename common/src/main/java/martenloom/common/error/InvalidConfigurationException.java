package martenloom.common.error;

/**
 * A configuration, placement or job from the operator is not valid. Not retriable as it is: the
 * message names the item and the reason.
 */
public final class InvalidConfigurationException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "check configuration". */
    public InvalidConfigurationException(String step, String reason) {
        super(ErrorCode.CONFIGURATION, step, NO_PEER, reason);
    }
}
