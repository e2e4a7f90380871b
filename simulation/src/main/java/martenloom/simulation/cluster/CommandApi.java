package martenloom.simulation.cluster;

import martenloom.core.state.Command;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;
import martenloom.simulation.history.CommandReply;

/**
 * Takes clients' commands as the daemon's control API does: stamps each with the version it was
 * accepted at, and retries for a while when no head takes it.
 */
final class CommandApi {
    private static final long RETRY_FOR_US = 850_000;
    private static final long RETRY_PAUSE_US = 60_000;

    private final SimulatedMember member;
    private final CommandForwarder forwarder;

    CommandApi(SimulatedMember member, CommandForwarder forwarder) {
        this.member = member;
        this.forwarder = forwarder;
    }

    void submit(Command command, ReplyCallback callback) {
        if (member.isLeaving()) {
            callback.onReply(CommandReply.unavailable("this daemon is leaving"));
            return;
        }
        attempt(member.chain().committed().accepted(command), member.nowUs(), callback);
    }

    private void attempt(StampedCommand command, long acceptedAtUs, ReplyCallback callback) {
        forwarder.forward(
                command,
                reply -> {
                    if (reply.isUnavailable() && member.nowUs() - acceptedAtUs < RETRY_FOR_US) {
                        member.after(
                                RETRY_PAUSE_US, () -> attempt(command, acceptedAtUs, callback));
                    } else {
                        callback.onReply(forClient(reply));
                    }
                });
    }

    /** A stale command has done nothing: its client may send it again. */
    private static CommandReply forClient(CommandReply reply) {
        return reply.code() == ResultCode.STALE_ORDER
                ? CommandReply.unavailable(reply.text())
                : reply;
    }
}
