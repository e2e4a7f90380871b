package martenloom.core.forwarding;

import io.activej.eventloop.Eventloop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.RequestId;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainEffect;
import martenloom.core.chain.ChainMember;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.CommandType;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * Hands orders to the head of the chain, here or at another core daemon, and their answers back.
 * Every caller is answered once; one whose order went to another head is told that it is
 * unavailable when no answer came in time, and does not know then whether the order was carried
 * out. Runs on the reactor thread.
 */
public final class CommandForwarder {
    private static final long ANSWER_US = 2_500_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests;
    private final Runnable carryOut;
    private final Map<Long, BiConsumer<ResultCode, String>> localRequests = new HashMap<>();
    private long lastLocal;

    /**
     * @param carryOut carries out what the chain commands
     */
    public CommandForwarder(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            CorePeerLinks peers,
            PeerRequests peerRequests,
            Runnable carryOut) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.peers = peers;
        this.peerRequests = peerRequests;
        this.carryOut = carryOut;
    }

    /** Puts an order to the chain of this daemon. */
    public void submitLocally(StampedCommand order, BiConsumer<ResultCode, String> reply) {
        var id = ++lastLocal;
        localRequests.put(id, reply);
        chain.submit(Clocks.nowUs(), id, order);
        loop.post(carryOut);
    }

    /** Hands an order to the head, wherever it is. */
    public void submit(StampedCommand order, BiConsumer<ResultCode, String> reply) {
        if (chain.isHead()) {
            submitLocally(order, reply);
            return;
        }
        var link = peers.headLink();
        if (link.isEmpty() || !inTouch()) {
            reply.accept(ResultCode.UNAVAILABLE, "no head is known at " + settings.ipAddress());
            return;
        }
        var head = link.get();
        var id =
                peerRequests.send(
                        head,
                        RecordType.ORDER_REQUEST,
                        out -> CommandCodec.write(out, order),
                        reply);
        Clocks.after(
                loop,
                ANSWER_US,
                () -> peerRequests.expire(id, "no reply from the head " + head.peer()));
    }

    /** An order that another core daemon has handed over to this one. */
    public void onOrder(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        submitLocally(
                CommandCodec.read(in), (code, text) -> PeerRequests.answer(link, id, code, text));
    }

    /** An order of an edge, which may only give those of the runner of jobs. */
    public void onEdgeOrder(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        var type = CommandType.ofWireName(in.text());
        var subject = in.text();
        var fence = in.i64();
        var version = in.i64();
        var order = CommandCodec.ofEdge(type, subject, fence, version, in.text());
        if (!type.isAllowedFromEdge()) {
            PeerRequests.answer(link, id, ResultCode.INVALID, "not for an edge");
            return;
        }
        submit(order, (code, text) -> PeerRequests.answer(link, id, code, text));
    }

    /** The chain's answer to an order that was put to it here. */
    public void onDecided(ChainEffect.CompleteRequest answer) {
        Optional.ofNullable(localRequests.remove(answer.request()))
                .ifPresent(reply -> reply.accept(answer.code(), answer.text()));
    }

    /** Whether this daemon knew of a majority that held together a moment ago. */
    public boolean inTouch() {
        return chain.isFresh(Clocks.nowUs());
    }

    /** Whether callers here still wait for an answer. */
    public boolean owesAnswers() {
        return !localRequests.isEmpty() || !peerRequests.isEmpty();
    }
}
