package martenloom.core.registry;

import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.link.PeerLink;
import martenloom.common.link.RequestId;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRequests;

/**
 * Carries changes of the registry to the other core daemons and to the edges of this home, and
 * takes theirs. What an update has missed is repaired by comparing digests. Runs on the reactor
 * thread.
 */
public final class ReplicaUpdatePublisher {
    private final Registry registry;
    private final CorePeerLinks peers;
    private final EdgeLinks edges;

    /** Publishes nothing by itself: the owner calls it at intervals. */
    public ReplicaUpdatePublisher(Registry registry, CorePeerLinks peers, EdgeLinks edges) {
        this.registry = registry;
        this.peers = peers;
        this.edges = edges;
    }

    /** Sends what has changed since the last call to all core daemons and edges. */
    public void publish() {
        var nowUs = Clocks.nowUs();
        var update = registry.pollUpdate(nowUs);
        for (var ip : peers.dialed()) {
            if (peers.readsShortForms(ip)) {
                update.changedRows().ifPresent(rows -> peers.send(ip, rows));
                update.liveness().ifPresent(liveness -> peers.send(ip, liveness));
            } else {
                update.allRows().ifPresent(rows -> peers.send(ip, rows));
            }
        }
        publishToEdges(nowUs);
    }

    /** Sends the replicas that have changed since the last call to the edges of this home. */
    public void publishToEdges(long nowUs) {
        registry.pollChangedReplicas(nowUs)
                .ifPresent(
                        changes ->
                                edges.forEach(
                                        (edgeIp, link) ->
                                                link.send(
                                                        link.readsShortForms()
                                                                ? changes.shortRows()
                                                                : changes.rows())));
    }

    /**
     * Rows from another core daemon; their age is what the sender says and the time for which they
     * were under way. That a replica drains or has ended goes to the edges at once.
     */
    public void onUpdate(PeerLink link, RecordReader in) {
        var nowUs = Clocks.nowUs();
        registry.acceptUpdate(in, nowUs - link.transitDelay().excessDelayUs(in.i64(), nowUs));
        if (registry.isEndPending()) {
            publishToEdges(nowUs);
        }
    }

    /** Heartbeats and renewals from another core daemon that say nothing new. */
    public void onLiveness(PeerLink link, RecordReader in) {
        var nowUs = Clocks.nowUs();
        registry.acceptLiveness(in, nowUs - link.transitDelay().excessDelayUs(in.i64(), nowUs));
    }

    /** Rows whose sender waits for the acknowledgement that they were taken here. */
    public void onConfirmedUpdate(PeerLink link, RecordReader in) {
        var id = RequestId.read(in);
        onUpdate(link, new RecordReader(in.blob(), true));
        PeerRequests.acknowledge(link, id);
    }

    /** Sends the digests of our rows to one core daemon, which answers with what we lack. */
    public void sendDigests() {
        peers.sendToNext(
                ip -> peers.readsShortForms(ip) ? registry.rangeDigests() : registry.digests());
    }

    /** Short rows from another core daemon, which are as old as those of {@link #onUpdate}. */
    public void onRows(PeerLink link, RecordReader in) {
        var nowUs = Clocks.nowUs();
        registry.acceptRows(in, nowUs - link.transitDelay().excessDelayUs(in.i64(), nowUs));
        if (registry.isEndPending()) {
            publishToEdges(nowUs);
        }
    }

    /** Answers digests by the ranges of the short forms with our rows of those that differ. */
    public void onRangeDigests(PeerLink link, RecordReader in) {
        registry.answerRangeDigests(in, Clocks.nowUs())
                .ifPresent(rows -> peers.send(link.peer(), rows));
    }

    /** Answers the digests of another core daemon with our rows of the ranges that differ. */
    public void onDigests(PeerLink link, RecordReader in) {
        registry.answerDigests(in, Clocks.nowUs()).ifPresent(rows -> peers.send(link.peer(), rows));
    }
}
