package martenloom.core.registry;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.RequestId;
import martenloom.core.chain.ChainMember;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;
import martenloom.core.state.ResultCode;

/**
 * Announces at once that a replica drains or has ended, and reports whether a majority of the
 * roster has acknowledged it. Runs on the reactor thread.
 */
public final class ReplicaEndAnnouncer {
    /** A replica gives a call one second; the rest is for the answer to it. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_US = 800_000;

    private final Eventloop loop;
    private final ChainMember chain;
    private final Registry registry;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests;
    private final ReplicaUpdatePublisher updates;

    /**
     * @param updates sends the row to the edges, and to the core daemons outside the roster
     */
    public ReplicaEndAnnouncer(
            Eventloop loop,
            ChainMember chain,
            Registry registry,
            CorePeerLinks peers,
            PeerRequests peerRequests,
            ReplicaUpdatePublisher updates) {
        this.loop = loop;
        this.chain = chain;
        this.registry = registry;
        this.peers = peers;
        this.peerRequests = peerRequests;
        this.updates = updates;
    }

    /**
     * Sends the row of a replica to everybody. Those that acknowledge it send it to their edges and
     * to the other core daemons, so that an edge that does not get it has lost its home and is
     * about to leave it.
     *
     * @param outcome is called once: whether a majority has acknowledged the row in time
     */
    public void announce(String replicaId, Consumer<Boolean> outcome) {
        var roster = chain.committed().roster().members();
        var quorum = new QuorumAcknowledgement(roster, outcome);
        var row = registry.updateOf(replicaId, Clocks.nowUs());
        var sent = new ArrayList<RequestId>();
        for (var member : roster) {
            peers.link(member)
                    .map(link -> send(link, row, () -> quorum.acknowledgedBy(member)))
                    .ifPresent(sent::add);
        }
        updates.publish();
        quorum.acknowledgedBy(peers.localIp());
        Clocks.after(
                loop,
                ACKNOWLEDGEMENT_TIMEOUT_US,
                () -> {
                    sent.forEach(id -> peerRequests.expire(id, "not acknowledged in time"));
                    quorum.timedOut();
                });
    }

    private RequestId send(PeerLink link, byte[] row, Runnable acknowledged) {
        return peerRequests.send(
                link,
                RecordType.CONFIRMED_REGISTRY_UPDATE,
                out -> out.blob(row),
                (code, text) -> {
                    if (code == ResultCode.OK) {
                        acknowledged.run();
                    }
                });
    }
}
