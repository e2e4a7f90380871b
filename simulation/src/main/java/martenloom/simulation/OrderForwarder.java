package martenloom.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;
import martenloom.common.link.PendingRequests;
import martenloom.core.chain.ChainCore;
import martenloom.core.state.CoreState;

/**
 * The way of an order from the member that a caller reached to the head of the chain, and of the
 * answer back.
 */
final class OrderForwarder {
    private static final long PATIENCE_US = 2_500_000;
    private static final long STALE_US = 1_500_000;

    private final Process process;
    private final PendingRequests<SimulatedNetwork.Connection> headRequests;
    private final Map<Long, Reply> localRequests = new HashMap<>();
    private long lastLocal;

    OrderForwarder(Process process, long life) {
        this.process = process;
        headRequests = new PendingRequests<>(life);
    }

    void ask(CoreState.Change change, Reply reply) {
        var chain = process.chain();
        if (chain.heading()) {
            askHere(change, reply);
            return;
        }
        var head = chain.head();
        var connection = process.connectionTo(head);
        if (connection.isEmpty() || chain.staleUs(process.nowUs()) > STALE_US) {
            reply.accept(503, "no head is known");
            return;
        }
        var id = headRequests.open(connection.get(), reply::accept);
        var record = new Codec.Out(FleetRecords.ASK);
        id.write(record);
        change.write(record);
        process.send(head, record.bytes());
        process.after(PATIENCE_US, () -> headRequests.expire(id, "no answer from the head"));
    }

    private void askHere(CoreState.Change change, Reply reply) {
        var id = ++lastLocal;
        localRequests.put(id, reply);
        process.chain().onAsk(process.nowUs(), id, change);
    }

    void onChainAnswer(ChainCore.Answer answer) {
        Optional.ofNullable(localRequests.remove(answer.request()))
                .ifPresent(r -> r.accept(answer.status(), answer.text()));
    }

    /** Takes a record of this exchange. */
    void onRecord(SimulatedNetwork.Connection by, byte[] record) {
        var in = new Codec.In(record, true);
        if (in.type == FleetRecords.ASK) {
            var id = PendingRequests.RequestId.read(in);
            askHere(CoreState.Change.read(in), (status, text) -> answer(by, id, status, text));
        } else if (in.type == FleetRecords.ANSWER) {
            headRequests.answered(PendingRequests.RequestId.read(in), by, in.i32(), in.text());
        }
    }

    private static void answer(
            SimulatedNetwork.Connection by, PendingRequests.RequestId id, int status, String text) {
        var record = new Codec.Out(FleetRecords.ANSWER);
        id.write(record);
        by.answer(record.i32(status).text(text).bytes());
    }
}
