package martenloom.core.state;

import martenloom.common.error.MalformedRecordException;

/**
 * The kinds of {@link Command} as other daemons and the disk know them. The ordinal is the type
 * byte of an encoded command, so the order of the constants never changes; an edge names the kind
 * by {@link #wireName()}, which is also part of the digest of an applied configuration change.
 */
public enum CommandType {
    REPLACE_CONFIGURATION("REPLACE"),
    UPDATE_CONFIGURATION("UPDATE"),
    START_EVACUATION("EVAC_START"),
    FINISH_EVACUATION("EVAC_FINISH"),
    GRANT_LEASE("DUTY"),
    ADD_MEMBER("ROSTER"),
    READ_CONFIGURATION("READ"),
    SUBMIT_JOB("JOB_SUBMIT"),
    GET_JOB("JOB_GET"),
    LIST_JOBS("JOB_LIST"),
    GET_JOB_RESULT("JOB_RESULT"),
    CONFIRM_JOB_RESULT("JOB_CONFIRM"),
    CANCEL_JOB("JOB_CANCEL"),
    START_JOB("JOB_START"),
    APPEND_JOB_OUTPUT("JOB_KEEP"),
    FINISH_JOB("JOB_DONE"),
    RETURN_JOB("JOB_BACK"),
    ADVANCE_JOB_CLOCK("JOB_CLOCK"),
    SET_REPLICA_COUNT("SCALE"),
    SET_PLACEMENT("PLACE"),
    REMOVE_MEMBER("ROSTER_OUT"),
    MARK_DEPARTING("LEAVE"),
    READ_JOB_RESULT("JOB_READ");

    private static final CommandType[] BY_NUMBER = values();

    private final String wireName;

    CommandType(String wireName) {
        this.wireName = wireName;
    }

    /** The name under which edges send this kind, and under which it is logged. */
    public String wireName() {
        return wireName;
    }

    /** Whether an edge may send this kind, as the lease holder of a role. */
    public boolean isAllowedFromEdge() {
        return switch (this) {
            case START_JOB, APPEND_JOB_OUTPUT, FINISH_JOB, RETURN_JOB, SET_REPLICA_COUNT -> true;
            default -> false;
        };
    }

    /** The type byte of an encoded command. */
    int number() {
        return ordinal();
    }

    /** The kind with this type byte. */
    static CommandType ofNumber(int number) {
        if (number >= BY_NUMBER.length) {
            throw new MalformedRecordException("read command", "no command has type " + number);
        }
        return BY_NUMBER[number];
    }

    /** The kind that an edge has named. */
    public static CommandType ofWireName(String name) {
        for (var type : BY_NUMBER) {
            if (type.wireName.equals(name)) {
                return type;
            }
        }
        throw new MalformedRecordException("read command", "no command is named '" + name + "'");
    }
}
