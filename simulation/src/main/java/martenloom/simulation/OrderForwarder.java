package martenloom.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PendingRequests;
import martenloom.common.link.RequestId;
import martenloom.core.chain.ChainEffect;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.StampedCommand;

/**
 * The way of an order from the member that a caller reached to the head of the chain, and of the
 * answer back, as the core daemon does it.
 */
final class OrderForwarder {
    private static final long PATIENCE_US = 2_500_000;

    private final Process process;
    private final Map<Long, Reply> local = new HashMap<>();
    private final PendingRequests<SimulatedNetwork.Connection> remote;
    private long lastLocal;

    OrderForwarder(Process process, long life) {
        this.process = process;
        remote = new PendingRequests<>(life);
    }

    void forward(StampedCommand change, Reply reply) {
        var chain = process.chain();
        if (chain.isHead()) {
            askHere(change, reply);
            return;
        }
        var head = process.connection(chain.head());
        if (head.isEmpty() || !chain.isFresh(process.nowUs())) {
            reply.accept(Reply.UNAVAILABLE, "no head is known");
            return;
        }
        var id = remote.register(head.get(), reply::accept);
        var record = new RecordWriter(RecordType.ORDER_REQUEST);
        id.write(record);
        CommandCodec.write(record, change);
        head.get().send(record.bytes());
        process.after(PATIENCE_US, () -> remote.expire(id, "no answer from the head"));
    }

    /** Hands an order to the chain of this member. */
    void askHere(StampedCommand change, Reply reply) {
        var id = ++lastLocal;
        local.put(id, reply);
        process.chain().submit(process.nowUs(), id, change);
    }

    void onChainAnswer(ChainEffect.CompleteRequest answer) {
        Optional.ofNullable(local.remove(answer.request()))
                .ifPresent(r -> r.accept(answer.code().number(), answer.text()));
    }

    void onClosed(SimulatedNetwork.Connection connection) {
        remote.channelClosed(connection, "the link closed before an answer");
    }

    void onAsk(SimulatedNetwork.Connection by, RecordReader in) {
        var id = RequestId.read(in);
        askHere(CommandCodec.read(in), (status, text) -> answer(by, id, status, text));
    }

    private static void answer(
            SimulatedNetwork.Connection by, RequestId id, int status, String text) {
        var record = new RecordWriter(RecordType.ORDER_RESPONSE);
        id.write(record);
        by.answer(record.i32(status).text(text).bytes());
    }

    void onAnswer(SimulatedNetwork.Connection by, RecordReader in) {
        remote.complete(RequestId.read(in), by, in.i32(), in.text());
    }
}
