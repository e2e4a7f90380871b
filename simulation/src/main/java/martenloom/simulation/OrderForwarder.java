package martenloom.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;
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
    private final Map<Long, Reply> asked = new HashMap<>();
    private long lastId;

    OrderForwarder(Process process) {
        this.process = process;
    }

    void ask(CoreState.Change change, Reply reply) {
        var chain = process.chain();
        if (chain.heading()) {
            askHere(change, reply);
            return;
        }
        var head = chain.head();
        if (!process.connectedTo(head) || chain.staleUs(process.nowUs()) > STALE_US) {
            reply.accept(503, "no head is known");
            return;
        }
        var id = ++lastId;
        asked.put(id, reply);
        var record = new Codec.Out(FleetRecords.ASK).i64(id);
        change.write(record);
        process.send(head, record.bytes());
        process.after(
                PATIENCE_US,
                () ->
                        Optional.ofNullable(asked.remove(id))
                                .ifPresent(r -> r.accept(503, "no answer from the head")));
    }

    private void askHere(CoreState.Change change, Reply reply) {
        var id = ++lastId;
        asked.put(id, reply);
        process.chain().onAsk(process.nowUs(), id, change);
    }

    void onChainAnswer(ChainCore.Answer answer) {
        Optional.ofNullable(asked.remove(answer.request()))
                .ifPresent(r -> r.accept(answer.status(), answer.text()));
    }

    /** Takes a record of this exchange. */
    void onRecord(SimulatedNetwork.Connection by, byte[] record) {
        var in = new Codec.In(record, true);
        if (in.type == FleetRecords.ASK) {
            var id = in.i64();
            askHere(
                    CoreState.Change.read(in),
                    (status, text) ->
                            by.answer(
                                    new Codec.Out(FleetRecords.ANSWER)
                                            .i64(id)
                                            .i32(status)
                                            .text(text)
                                            .bytes()));
        } else if (in.type == FleetRecords.ANSWER) {
            var reply = Optional.ofNullable(asked.remove(in.i64()));
            var status = in.i32();
            var text = in.text();
            reply.ifPresent(r -> r.accept(status, text));
        }
    }
}
