package martenloom.simulation.history;

import martenloom.core.state.ResultCode;

/**
 * The reply to a client's command, as the control API gives it.
 *
 * @param code what the command came to
 * @param text the body
 */
public record CommandReply(ResultCode code, String text) {
    /** The reply of a number between daemons. */
    public static CommandReply ofNumber(int number, String text) {
        return new CommandReply(ResultCode.ofNumber(number), text);
    }

    /** The outcome is not known, or nothing was done: the client may send the command again. */
    public static CommandReply unavailable(String text) {
        return new CommandReply(ResultCode.UNAVAILABLE, text);
    }

    /** Whether the command was carried out. */
    public boolean isSuccess() {
        return code == ResultCode.OK;
    }

    /** Whether the client may send the command again, since its outcome is not known. */
    public boolean isUnavailable() {
        return code == ResultCode.UNAVAILABLE;
    }

    /** Whether the client knows what became of its command: it was carried out or rejected. */
    public boolean isDefinite() {
        return !isUnavailable() && code != ResultCode.STALE_ORDER;
    }
}
