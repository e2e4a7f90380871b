package martenloom.common.error;

/** The part of the system in which an error arose; the first word of every error line. */
public enum ErrorCode {
    SETTINGS,
    CONFIGURATION,
    USAGE,
    DISK,
    LINK,
    RECORD
}
