package martenloom.core.state;

import java.util.Optional;
import java.util.function.Function;

/**
 * What a command comes to in a state, or in a part of it.
 *
 * @param code whether and why not
 * @param text what the caller is told
 * @param next the state that follows; empty if the command changes nothing
 */
public record CommandResult<S>(ResultCode code, String text, Optional<S> next) {
    /** The command was carried out and leads to another state. */
    static <S> CommandResult<S> changed(S next, String text) {
        return new CommandResult<>(ResultCode.OK, text, Optional.of(next));
    }

    /** The command was carried out and changes nothing. */
    static <S> CommandResult<S> unchanged(String text) {
        return new CommandResult<>(ResultCode.OK, text, Optional.empty());
    }

    /** The command was refused. */
    static <S> CommandResult<S> refused(ResultCode code, String reason) {
        return new CommandResult<>(code, reason, Optional.empty());
    }

    /** The command contradicts the state, or its sender is fenced off. */
    static <S> CommandResult<S> conflict(String reason) {
        return refused(ResultCode.CONFLICT, reason);
    }

    /** An order was overtaken by another one of the same subject. */
    static <S> CommandResult<S> stale(String subject) {
        return refused(
                ResultCode.STALE_ORDER,
                "the order was overtaken by another of '" + subject + "', nothing was done");
    }

    /** The result in a whole state, of one in a part of it. */
    <T> CommandResult<T> map(Function<S, T> whole) {
        return new CommandResult<>(code, text, next.map(whole));
    }

    /** Whether the command was carried out. */
    public boolean isOk() {
        return code == ResultCode.OK;
    }
}
