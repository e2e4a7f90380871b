package martenloom.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.log.RingLog;
import martenloom.core.chain.ChainMember;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;

/**
 * Carries the edges' wishes for duties to the head, its grants back to them, and the reports of
 * those who hold a duty to all edges. A grant counts only from the head of the moment; grants and
 * reports under an older grant than is known here are dropped. Runs on the reactor thread.
 */
public final class LeaseRelay {
    /** Wishes of edges that do not hold the duty are passed on as seldom as this. */
    private static final long WANT_US = 350_000;

    private final ChainMember chain;
    private final RoleLeaseService duties;
    private final CorePeerLinks peers;
    private final EdgeLinks homes;
    private final Map<String, Long> passedUs = new HashMap<>();

    public LeaseRelay(
            ChainMember chain, RoleLeaseService duties, CorePeerLinks peers, EdgeLinks homes) {
        this.chain = chain;
        this.duties = duties;
        this.peers = peers;
        this.homes = homes;
    }

    /**
     * Passes on that an edge wants a duty. The holder's own word goes on always, others' only one
     * in a while: the head needs a candidate, not all of them.
     */
    public void passWant(String duty, String holder, long stamp, long now) {
        if (!holds(duty, holder)) {
            if (now - passedUs.getOrDefault(duty, 0L) < WANT_US) {
                return;
            }
            passedUs.put(duty, now);
        }
        want(duty, holder, stamp);
    }

    private boolean holds(String duty, String holder) {
        return Optional.ofNullable(chain.committed().duties.get(duty))
                .filter(current -> current.holder.equals(holder))
                .isPresent();
    }

    private void want(String duty, String holder, long stamp) {
        if (chain.heading()) {
            homes.link(ipOf(holder))
                    .ifPresent(link -> duties.want(duty, holder, stamp, link::send));
            return;
        }
        peers.headLink()
                .ifPresent(
                        head ->
                                head.send(
                                        new RecordWriter(RecordType.LEASE_REQUEST)
                                                .text(duty)
                                                .text(holder)
                                                .i64(stamp)
                                                .bytes()));
    }

    /** Another core daemon passes on that an edge of its own wants a duty. */
    public void onWant(PeerLink link, RecordReader in) {
        duties.want(in.text(), in.text(), in.i64(), link::send);
    }

    /**
     * A grant counts from the head of the moment, on our link to it, and not when a newer one is
     * known here.
     */
    public void onGrant(PeerLink from, byte[] record, RecordReader in) {
        var holder = in.text();
        var duty = in.text();
        var ofHead = peers.headLink().filter(head -> head == from).isPresent();
        if (ofHead && !chain.committed().overtaken(duty, in.i64())) {
            homes.link(ipOf(holder)).ifPresent(link -> link.send(record));
        }
    }

    /**
     * A report comes from an edge of ours, then goes to all our edges and to the peers; theirs pass
     * it to their edges only.
     */
    public void onReport(PeerLink from, byte[] record, RecordReader in) {
        var duty = in.text() + "/" + in.text();
        var reporter = in.text();
        if (chain.committed().overtaken(duty, in.i64())) {
            RingLog.debug(
                    "a report of " + reporter + " under an older grant of " + duty + " is dropped");
            return;
        }
        if (homes.edgeOf(from).isPresent()) {
            peers.sendAll(record);
        }
        homes.sendAll(record);
    }

    private static String ipOf(String holder) {
        var end = holder.indexOf('#');
        return end < 0 ? holder : holder.substring(0, end);
    }
}
