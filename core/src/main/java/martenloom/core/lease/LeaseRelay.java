package martenloom.core.lease;

import java.util.HashMap;
import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.log.RingLog;
import martenloom.core.chain.ChainMember;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;

/**
 * Relays what concerns role leases between the edges of this home and the head of the chain:
 * requests to the head, its grants back, and the reports of lease holders to all edges. A grant
 * counts only from the current head; grants and reports with an older fencing token than is known
 * here are dropped. Runs on the reactor thread.
 */
public final class LeaseRelay {
    /** Requests of candidates that do not hold the role are forwarded as rarely as this. */
    private static final long CANDIDATE_INTERVAL_US = 350_000;

    /** Separates the address of a holder from its incarnation. */
    private static final char INCARNATION_MARK = '#';

    private final ChainMember chain;
    private final RoleLeaseService roleLeases;
    private final CorePeerLinks peers;
    private final EdgeLinks edges;

    /** When the last request of a candidate was forwarded, by role. */
    private final Map<String, Long> forwardedUs = new HashMap<>();

    /**
     * @param roleLeases takes the requests while this member is the head
     */
    public LeaseRelay(
            ChainMember chain, RoleLeaseService roleLeases, CorePeerLinks peers, EdgeLinks edges) {
        this.chain = chain;
        this.roleLeases = roleLeases;
        this.peers = peers;
        this.edges = edges;
    }

    /**
     * Forwards the request of an edge of this home. That of the holder always goes on, those of
     * others only at intervals: the head needs one candidate, not all of them.
     */
    public void forwardRequest(String role, String candidate, long sentAtUs, long nowUs) {
        if (!isHolder(role, candidate)) {
            if (nowUs - forwardedUs.getOrDefault(role, 0L) < CANDIDATE_INTERVAL_US) {
                return;
            }
            forwardedUs.put(role, nowUs);
        }
        if (chain.isHead()) {
            edges.link(ipOf(candidate))
                    .ifPresent(link -> roleLeases.request(role, candidate, sentAtUs, link::send));
        } else {
            peers.headLink().ifPresent(head -> head.send(request(role, candidate, sentAtUs)));
        }
    }

    private boolean isHolder(String role, String candidate) {
        return chain.committed().leases().isHeldBy(role, candidate);
    }

    private static byte[] request(String role, String candidate, long sentAtUs) {
        return new RecordWriter(RecordType.LEASE_REQUEST)
                .text(role)
                .text(candidate)
                .i64(sentAtUs)
                .bytes();
    }

    /** Another core daemon forwards the request of one of its edges. */
    public void onRequest(PeerLink link, RecordReader in) {
        roleLeases.request(in.text(), in.text(), in.i64(), link::send);
    }

    /**
     * A grant counts when it comes from the current head, on our link to it, and no newer one is
     * known here.
     */
    public void onGrant(PeerLink from, byte[] record, RecordReader in) {
        var holder = in.text();
        var role = in.text();
        var fromHead = peers.headLink().filter(head -> head == from).isPresent();
        if (fromHead && !chain.committed().leases().isSuperseded(role, in.i64())) {
            edges.link(ipOf(holder)).ifPresent(link -> link.send(record));
        }
    }

    /**
     * The report of a lease holder. One of an edge of this home goes to all our edges and to the
     * other core daemons; one that such a daemon has sent goes to our edges only.
     */
    public void onReport(PeerLink from, byte[] record, RecordReader in) {
        var role = in.text() + "/" + in.text();
        var reporter = in.text();
        if (chain.committed().leases().isSuperseded(role, in.i64())) {
            RingLog.debug(
                    "a report of "
                            + reporter
                            + " with an older fencing token of "
                            + role
                            + " is dropped");
            return;
        }
        if (edges.edgeOf(from).isPresent()) {
            peers.sendAll(record);
        }
        edges.sendAll(record);
    }

    private static String ipOf(String holder) {
        var end = holder.indexOf(INCARNATION_MARK);
        return end < 0 ? holder : holder.substring(0, end);
    }
}
