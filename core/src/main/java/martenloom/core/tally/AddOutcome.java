package martenloom.core.tally;

/** What became of an add. */
public enum AddOutcome {
    /** It counts, and enough daemons hold it. */
    COUNTED,

    /** It was not taken and does not count. */
    NOT_TAKEN,

    /** It may count; the caller should send it again with the same id. */
    UNCERTAIN
}
