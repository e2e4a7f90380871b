package martenloom.core.forwarding;

import io.activej.eventloop.Eventloop;
import java.util.function.BiConsumer;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.RequestId;
import martenloom.core.chain.ChainMember;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;
import martenloom.core.state.CommandCodec;
import martenloom.core.state.CommandType;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * Forwards commands to the head of the chain, here or at another core daemon, and the results back.
 * Every caller is answered once; one whose command went to another daemon gets {@link
 * ResultCode#UNAVAILABLE} when no result came in time, and does not know then whether the command
 * was carried out. Runs on the reactor thread.
 */
public final class CommandForwarder implements CommandSubmitter {
    private static final long RESULT_TIMEOUT_US = 2_500_000;

    private final Eventloop loop;
    private final ChainMember chain;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests;
    private final CommandSubmitter localChain;

    /**
     * @param localChain submits commands to the chain member of this daemon
     */
    public CommandForwarder(
            Eventloop loop,
            ChainMember chain,
            CorePeerLinks peers,
            PeerRequests peerRequests,
            CommandSubmitter localChain) {
        this.loop = loop;
        this.chain = chain;
        this.peers = peers;
        this.peerRequests = peerRequests;
        this.localChain = localChain;
    }

    @Override
    public void submit(StampedCommand command, BiConsumer<ResultCode, String> reply) {
        if (chain.isHead()) {
            localChain.submit(command, reply);
            return;
        }
        var link = peers.headLink();
        if (link.isEmpty() || !isInContact()) {
            reply.accept(ResultCode.UNAVAILABLE, "no head is known at " + peers.localIp());
            return;
        }
        var head = link.get();
        var id =
                peerRequests.send(
                        head,
                        RecordType.ORDER_REQUEST,
                        out -> CommandCodec.write(out, command),
                        reply);
        Clocks.after(
                loop,
                RESULT_TIMEOUT_US,
                () -> peerRequests.expire(id, "no reply from the head " + head.peer()));
    }

    /** A command that another core daemon has forwarded to this one. */
    public void onCommand(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        localChain.submit(
                CommandCodec.read(in), (code, text) -> PeerRequests.answer(link, id, code, text));
    }

    /** A command of an edge, which may only give those of a lease holder. */
    public void onEdgeCommand(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        var type = CommandType.ofWireName(in.text());
        var subject = in.text();
        var fencingToken = in.i64();
        var version = in.i64();
        var command = CommandCodec.ofEdge(type, subject, fencingToken, version, in.text());
        if (!type.isAllowedFromEdge()) {
            PeerRequests.answer(link, id, ResultCode.INVALID, "not for an edge");
            return;
        }
        submit(command, (code, text) -> PeerRequests.answer(link, id, code, text));
    }

    /** Whether this daemon was in contact with a majority a moment ago. */
    public boolean isInContact() {
        return chain.isFresh(Clocks.nowUs());
    }
}
