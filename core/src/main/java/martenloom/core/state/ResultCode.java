package martenloom.core.state;

/**
 * What a command came to. Each code has the number under which it travels between daemons; the
 * numbers are those of the HTTP statuses that the control API answers with, save the one of {@link
 * #STALE_ORDER}, which no caller from outside sees.
 */
public enum ResultCode {
    /** Done, or found to be so already. */
    OK(200),

    /** The command can't be understood, or asks for what isn't allowed. */
    INVALID(400),

    /** There is no such thing. */
    NOT_FOUND(404),

    /** What is asked for contradicts the state, or the sender is fenced off. */
    CONFLICT(409),

    /** The result was confirmed and is kept no longer. */
    RELEASED(410),

    /** Another revision is in force than the one that the change builds on. */
    PRECONDITION_FAILED(412),

    /** The command is larger than the state takes. */
    TOO_LARGE(413),

    /** The state holds as much as it may. */
    LIMIT_REACHED(429),

    /** Nothing was done, or it isn't known whether anything was done; the caller may retry. */
    UNAVAILABLE(503),

    /**
     * The order was accepted before another one of the same subject took effect. It did nothing,
     * and the same call sent again gets a fresh version.
     */
    STALE_ORDER(598);

    private static final ResultCode[] CODES = values();

    private final int number;

    ResultCode(int number) {
        this.number = number;
    }

    /** The number between daemons. */
    public int number() {
        return number;
    }

    /** The code that another daemon has sent; the outcome is unknown if the number is. */
    public static ResultCode ofNumber(int number) {
        for (var code : CODES) {
            if (code.number == number) {
                return code;
            }
        }
        return UNAVAILABLE;
    }
}
