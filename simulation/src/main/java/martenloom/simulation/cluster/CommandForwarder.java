package martenloom.simulation.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PendingRequests;
import martenloom.common.link.RequestId;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.StampedCommand;
import martenloom.simulation.history.CommandReply;
import martenloom.simulation.network.SimulatedConnection;

/**
 * Carries commands from the member that a client reached to the head of the chain, and the replies
 * back. It repeats {@code martenloom.core.forwarding.CommandForwarder}, which cannot be used here:
 * it is built on the event loop's clock and posts, the sockets of the peer links and the daemon's
 * settings. The matching of requests and responses is the daemon's own {@link PendingRequests}.
 */
final class CommandForwarder {
    private static final long RESPONSE_TIMEOUT_US = 2_500_000;

    private final SimulatedMember member;
    private final Map<Long, ReplyCallback> localRequests = new HashMap<>();
    private final PendingRequests<SimulatedConnection> remoteRequests;
    private long lastLocalId;

    /**
     * @param incarnation tells the requests of this run from those of an earlier one
     */
    CommandForwarder(SimulatedMember member, long incarnation) {
        this.member = member;
        remoteRequests = new PendingRequests<>(incarnation);
    }

    /** Hands a command to the head, wherever it is. */
    void forward(StampedCommand command, ReplyCallback callback) {
        var chain = member.chain();
        if (chain.isHead()) {
            submitLocally(command, callback);
            return;
        }
        var head = member.connection(chain.head());
        if (head.isEmpty() || !chain.isFresh(member.nowUs())) {
            callback.onReply(CommandReply.unavailable("no head is known"));
            return;
        }
        var id =
                remoteRequests.register(
                        head.get(),
                        (status, text) -> callback.onReply(CommandReply.ofNumber(status, text)));
        var record = new RecordWriter(RecordType.ORDER_REQUEST);
        id.write(record);
        CommandCodec.write(record, command);
        head.get().send(record.bytes());
        member.after(
                RESPONSE_TIMEOUT_US, () -> remoteRequests.expire(id, "no answer from the head"));
    }

    /** Hands a command to the chain of this member. */
    void submitLocally(StampedCommand command, ReplyCallback callback) {
        var id = ++lastLocalId;
        localRequests.put(id, callback);
        member.chain().submit(member.nowUs(), id, command);
    }

    /** The chain's reply to a command that was handed to it here. */
    void onCompleted(long id, CommandReply reply) {
        Optional.ofNullable(localRequests.remove(id))
                .ifPresent(callback -> callback.onReply(reply));
    }

    void onClosed(SimulatedConnection connection) {
        remoteRequests.channelClosed(connection, "the link closed before an answer");
    }

    /** A command that another member forwards to this one. */
    void onRequest(SimulatedConnection connection, RecordReader in) {
        var id = RequestId.read(in);
        submitLocally(CommandCodec.read(in), reply -> respond(connection, id, reply));
    }

    private static void respond(SimulatedConnection connection, RequestId id, CommandReply reply) {
        var record = new RecordWriter(RecordType.ORDER_RESPONSE);
        id.write(record);
        connection.answer(record.i32(reply.code().number()).text(reply.text()).bytes());
    }

    /** The head's response to a command that was forwarded from here. */
    void onResponse(SimulatedConnection connection, RecordReader in) {
        remoteRequests.complete(RequestId.read(in), connection, in.i32(), in.text());
    }
}
