package martenloom.common.error;

/**
 * A file of the data directory could not be read, written or synced. What was to be stored must not
 * be acknowledged; the write may be tried again.
 */
public final class StorageException extends MartenloomException {
    /** An error at this daemon itself, for example at the step "check settings". */
    public StorageException(String step, String reason) {
        super(ErrorCode.DISK, step, NO_PEER, reason);
    }
}
