package martenloom.core.registry;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.function.Consumer;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.link.RequestId;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;
import martenloom.core.state.ResultCode;

/**
 * Carries changes of the registry to the other core daemons and to the edges of this home. News
 * that a replica drains or has ended goes out at once, and is confirmed by a majority of the roster
 * or reported as unconfirmed. Runs on the reactor thread.
 */
public final class ReplicaUpdatePublisher {
    /**
     * How long confirmations are waited for; the replica that asks takes an answer for a second.
     */
    private static final long CONFIRM_US = 800_000;

    private final Eventloop loop;
    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final CorePeerLinks peers;
    private final PeerRequests peerRequests;
    private final EdgeLinks homes;

    public ReplicaUpdatePublisher(
            Eventloop loop,
            Settings settings,
            ChainMember chain,
            Registry registry,
            CorePeerLinks peers,
            PeerRequests peerRequests,
            EdgeLinks homes) {
        this.loop = loop;
        this.settings = settings;
        this.chain = chain;
        this.registry = registry;
        this.peers = peers;
        this.peerRequests = peerRequests;
        this.homes = homes;
    }

    /** Sends what has changed since the last flood to all peers and edges. */
    public void flood() {
        var now = Clocks.nowUs();
        registry.pollFlood(now).ifPresent(peers::sendAll);
        tellHomes(now);
    }

    /** Sends the rows that have changed to the edges of this home. */
    public void tellHomes(long now) {
        var changed = registry.pollChanged();
        if (!changed.isEmpty()) {
            homes.sendAll(registry.rows(changed, false, now));
        }
    }

    /**
     * Tells everybody at once that a replica drains or has ended, and says whether a majority of
     * the roster confirmed it in time. Those that confirm tell their edges and the other daemons,
     * so an edge that does not hear of it has lost its home and is about to leave it.
     */
    public void tellMajority(String replica, Consumer<Boolean> confirmed) {
        var roster = chain.committed().roster().members();
        var receipt = new QuorumAcknowledgement(roster, confirmed);
        var rows = registry.rowFlood(replica, Clocks.nowUs());
        var sent = new ArrayList<RequestId>();
        for (var member : roster) {
            peers.link(member)
                    .map(link -> sendConfirmed(link, rows, () -> receipt.acknowledgedBy(member)))
                    .ifPresent(sent::add);
        }
        flood();
        receipt.acknowledgedBy(settings.ipAddress());
        Clocks.after(
                loop,
                CONFIRM_US,
                () -> {
                    sent.forEach(id -> peerRequests.expire(id, "not confirmed in time"));
                    receipt.timedOut();
                });
    }

    private RequestId sendConfirmed(PeerLink link, byte[] rows, Runnable received) {
        return peerRequests.send(
                link,
                RecordType.CONFIRMED_REGISTRY_UPDATE,
                out -> out.blob(rows),
                (code, text) -> {
                    if (code == ResultCode.OK) {
                        received.run();
                    }
                });
    }

    /**
     * Rows from another daemon, as old as their sender says and for as long as they were under way.
     * Ends are told on at once.
     */
    public void onFlood(PeerLink link, RecordReader in) {
        var now = Clocks.nowUs();
        registry.takeFlood(in, now - link.transitDelay().excessDelayUs(in.i64(), now));
        if (registry.endsChanged()) {
            tellHomes(now);
        }
    }

    /** Rows whose sender waits until they have been taken here. */
    public void onConfirmedFlood(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        onFlood(link, new RecordReader(in.blob(), true));
        PeerRequests.answer(link, id, ResultCode.OK, "");
    }

    /** Sends the digests of our rows to one peer, which answers with what we lack. */
    public void sendDigests() {
        peers.sendToNext(registry.digests());
    }

    /** Answers the digests of a peer with the rows that differ. */
    public void onDigests(PeerLink link, RecordReader in) {
        registry.mend(in, Clocks.nowUs()).ifPresent(rows -> peers.send(link.peer(), rows));
    }
}
