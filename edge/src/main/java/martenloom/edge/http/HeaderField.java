package martenloom.edge.http;

/** The names of the header fields that this edge reads or writes, and how numbers are read. */
public final class HeaderField {
    public static final String ATTEMPT_ID = "X-Attempt-Id";
    public static final String CONNECTION = "Connection";
    public static final String CONTENT_LENGTH = "Content-Length";
    public static final String CONTENT_TYPE = "Content-Type";
    public static final String EXPECT = "Expect";
    public static final String HOST = "Host";
    public static final String KEEP_ALIVE = "Keep-Alive";
    public static final String LAST_EVENT_ID = "Last-Event-Id";
    public static final String MODEL = "X-Model";
    public static final String NOT_EXECUTED = "X-Not-Executed";
    public static final String PROMPT_PREFIX = "X-Prompt-Prefix";
    public static final String REQUEST_PRIORITY = "X-Request-Priority";
    public static final String SERVER_SEAL = "X-Server-Seal";
    public static final String TARGET_INSTANCE = "X-Target-Instance";
    public static final String TIME_REMAINING = "X-Time-Remaining";
    public static final String TOKEN_USAGE = "X-Token-Usage";
    public static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** What {@link #parseNumber} gives for a value that is no number. */
    public static final long NOT_A_NUMBER = -1;

    private HeaderField() {}

    /** The integer part of a decimal number, or {@link #NOT_A_NUMBER}. */
    public static long parseNumber(String value) {
        try {
            return value.isEmpty() ? NOT_A_NUMBER : (long) Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return NOT_A_NUMBER;
        }
    }
}
