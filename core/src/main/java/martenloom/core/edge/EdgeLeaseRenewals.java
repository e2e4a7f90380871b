package martenloom.core.edge;

import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.link.PeerLink;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.lease.LeaseRelay;
import martenloom.core.registry.Registry;
import martenloom.core.registry.ReplicaUpdatePublisher;

/**
 * Takes the lease renewals of the edges of this home. Each is answered, forwards the edge's
 * requests for role leases, and brings the holder of that role the live jobs of its region. Runs on
 * the reactor thread.
 */
public final class EdgeLeaseRenewals {
    private final Registry registry;
    private final EdgeSynchronizer synchronizer;
    private final EdgeLeaseResponder responder;
    private final RegionJobListing regionJobs;
    private final ReplicaUpdatePublisher updates;
    private final LeaseRelay leaseRelay;

    /** Holds no state of its own. */
    public EdgeLeaseRenewals(
            Registry registry,
            EdgeSynchronizer synchronizer,
            EdgeLeaseResponder responder,
            RegionJobListing regionJobs,
            ReplicaUpdatePublisher updates,
            LeaseRelay leaseRelay) {
        this.registry = registry;
        this.synchronizer = synchronizer;
        this.responder = responder;
        this.regionJobs = regionJobs;
        this.updates = updates;
        this.leaseRelay = leaseRelay;
    }

    /** An edge renews its lease, as old as the renewal was under way. */
    public void onRenewal(PeerLink link, RecordReader in, long nowUs) {
        var edge = EdgeRecord.read(in, nowUs);
        var sentAtUs = in.i64();
        edge.setLastRenewalUs(nowUs - link.transitDelay().excessDelayUs(sentAtUs, nowUs));
        var holder = in.text();
        var requestedRoles = in.texts();
        var warmingReplicas = in.texts();
        registry.accept(edge, true);
        synchronizer.onRenewal(edge, link, nowUs);
        link.send(responder.respond(edge, sentAtUs, warmingReplicas, nowUs));
        regionJobs.recordFor(holder, edge.region(), nowUs).ifPresent(link::send);
        requestedRoles.forEach(role -> leaseRelay.forwardRequest(role, holder, sentAtUs, nowUs));
        if (edge.draining()) {
            updates.publish();
        }
    }
}
