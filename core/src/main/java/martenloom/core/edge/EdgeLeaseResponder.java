package martenloom.core.edge;

import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.core.chain.ChainMember;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.membership.GracefulShutdown;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.registry.Registry;
import martenloom.core.registry.RegistryCheckpoint;
import martenloom.core.warmup.WarmupPermitLender;
import martenloom.core.warmup.WarmupPermits;

/**
 * The answer to a renewal: how old this daemon and its knowledge are, the editions and digests by
 * which the edge finds what it lacks, where else it may turn to, and what it may send to cold
 * replicas. A daemon that leaves says that its knowledge is too old, so that edges choose another
 * home. Runs on the reactor thread.
 */
public final class EdgeLeaseResponder {
    /** What is added to the age of a daemon that found replicas on its disk. */
    private static final long RESTORED_AGE_US = 10_000_000;

    private final ChainMember chain;
    private final Registry registry;
    private final RegistryCheckpoint memory;
    private final CorePeerLinks peers;
    private final RegionJobListing regionJobs;
    private final WarmupPermitLender coldSends;
    private final GracefulShutdown leave;
    private final long startUs;

    /**
     * @param startUs when this daemon started
     */
    public EdgeLeaseResponder(
            ChainMember chain,
            Registry registry,
            RegistryCheckpoint memory,
            CorePeerLinks peers,
            RegionJobListing regionJobs,
            WarmupPermitLender coldSends,
            GracefulShutdown leave,
            long startUs) {
        this.chain = chain;
        this.registry = registry;
        this.memory = memory;
        this.peers = peers;
        this.regionJobs = regionJobs;
        this.coldSends = coldSends;
        this.leave = leave;
        this.startUs = startUs;
    }

    public byte[] record(EdgeRecord edge, long stamp, List<String> coldReplicas, long now) {
        return new RecordWriter(RecordType.EDGE_LEASE_RESPONSE)
                .i64(stamp)
                .i64(now - startUs + (memory.restored() ? RESTORED_AGE_US : 0))
                .i64(leave.begun() ? GracefulShutdown.FAR_TOO_OLD_US : chain.stalenessUs(now))
                .i64(chain.committed().edition())
                .i32(registry.edgeDigest())
                .i32(memory.mostEdges())
                .i32(registry.members(now).size())
                .texts(peers.reachable())
                .flag(regionJobs.anyLive(edge.region()))
                .i64(WarmupPermits.PERMIT_US)
                .list(
                        coldSends.lend(edge, coldReplicas, now).entrySet(),
                        (out, lent) -> out.text(lent.getKey()).i32(lent.getValue()))
                .bytes();
    }
}
