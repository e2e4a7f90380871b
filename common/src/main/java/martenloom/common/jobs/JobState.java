package martenloom.common.jobs;

import java.util.Locale;

/**
 * Where a deferred job stands between its submission and the confirmation of its result.
 *
 * <p>A job begins as WAITING; WAITING and RUNNING follow each other with every attempt; all other
 * states are final. The order of the constants is part of the format on the wire and on disk.
 */
public enum JobState {
    WAITING,
    RUNNING,
    DONE,
    FAILED,

    /** Its only attempt may have run or not, and it must not run twice. */
    UNCERTAIN,

    CANCELLED,
    EXPIRED;

    private static final JobState[] STATES = values();

    /** Whether the job has not reached a final state. */
    public boolean isLive() {
        return this == WAITING || this == RUNNING;
    }

    /** The name of the state in answers of the control API. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    static JobState ofOrdinal(int ordinal) {
        return STATES[ordinal];
    }
}
