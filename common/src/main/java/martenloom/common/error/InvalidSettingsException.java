package martenloom.common.error;

/**
 * The settings file is missing, unreadable, or has a field that is not allowed. Not retriable: the
 * file has to be corrected.
 */
public final class InvalidSettingsException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "check settings". */
    public InvalidSettingsException(String step, String reason) {
        super(ErrorCode.SETTINGS, step, NO_PEER, reason);
    }
}
