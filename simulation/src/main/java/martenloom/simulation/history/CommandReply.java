package martenloom.simulation.history;

/**
 * The reply to a client's command, as the control API gives it.
 *
 * @param status the status as in HTTP
 * @param text the body
 */
public record CommandReply(int status, String text) {
    private static final int OK = 200;
    private static final int CLIENT_ERROR = 400;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** The outcome is not known, or nothing was done: the client may send the command again. */
    public static CommandReply unavailable(String text) {
        return new CommandReply(UNAVAILABLE, text);
    }

    /** Whether the command was carried out. */
    public boolean isSuccess() {
        return status == OK;
    }

    /** Whether what was asked for does not exist. */
    public boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Whether a newer version is in force than the one that the command was based on. */
    public boolean isPreconditionFailed() {
        return status == PRECONDITION_FAILED;
    }

    /** Whether the client may send the command again. */
    public boolean isUnavailable() {
        return status == UNAVAILABLE;
    }

    /** Whether the client knows what became of its command: it was carried out or rejected. */
    public boolean isDefinite() {
        return isSuccess() || status >= CLIENT_ERROR && status < SERVER_ERROR;
    }
}
