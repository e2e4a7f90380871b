package martenloom.common.jobs;

import martenloom.common.error.MalformedRecordException;

/** The contents of a job that may be large. The ordinal is part of the format on wire and disk. */
public enum JobPart {
    BODY,
    CHECKPOINT,
    RESULT;

    private static final JobPart[] PARTS = values();

    /** The part with this number. */
    public static JobPart ofOrdinal(int ordinal) {
        if (ordinal >= PARTS.length) {
            throw new MalformedRecordException("read job", "no part has number " + ordinal);
        }
        return PARTS[ordinal];
    }
}
