package martenloom.core.edge;

import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.registry.FleetSize;
import martenloom.core.registry.Registry;
import martenloom.core.warmup.WarmupPermitLender;
import martenloom.core.warmup.WarmupPermits;

/**
 * Encodes the answer to the renewal of an edge's lease: the freshness of this home, the edition and
 * the digest by which the edge finds what it lacks, the size of the fleet, the other homes it may
 * turn to, and its permits for replicas that are warming up. Runs on the reactor thread.
 */
public final class EdgeLeaseResponder {
    private final HomeFreshness freshness;
    private final Registry registry;
    private final FleetSize fleetSize;
    private final CorePeerLinks peers;
    private final RegionJobListing regionJobs;
    private final WarmupPermitLender warmupPermits;

    /** Only combines what the other parts know. */
    public EdgeLeaseResponder(
            HomeFreshness freshness,
            Registry registry,
            FleetSize fleetSize,
            CorePeerLinks peers,
            RegionJobListing regionJobs,
            WarmupPermitLender warmupPermits) {
        this.freshness = freshness;
        this.registry = registry;
        this.fleetSize = fleetSize;
        this.peers = peers;
        this.regionJobs = regionJobs;
        this.warmupPermits = warmupPermits;
    }

    /**
     * The record of the answer.
     *
     * @param sentAtUs the time of the renewal by the clock of the edge, which it gets back
     * @param warmingReplicas the replicas for which the edge asks permits
     */
    byte[] respond(EdgeRecord edge, long sentAtUs, List<String> warmingReplicas, long nowUs) {
        return new RecordWriter(RecordType.EDGE_LEASE_RESPONSE)
                .i64(sentAtUs)
                .i64(freshness.ageUs(nowUs))
                .i64(freshness.stalenessUs(nowUs))
                .i64(freshness.edition())
                .i32(registry.replicaDigest())
                .i32(fleetSize.maxEdges())
                .i32(registry.liveEdges(nowUs).size())
                .texts(peers.reachable())
                .flag(regionJobs.hasLiveJobs(edge.region()))
                .i64(WarmupPermits.PERMIT_US)
                .list(
                        warmupPermits.lend(edge, warmingReplicas, nowUs).entrySet(),
                        (out, permit) -> out.text(permit.getKey()).i32(permit.getValue()))
                .bytes();
    }
}
