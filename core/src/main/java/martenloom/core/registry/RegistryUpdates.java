package martenloom.core.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;

/**
 * What has changed in a registry and was not sent on yet: replicas for the edges, and replicas and
 * edges for the other core daemons. Thread-safe.
 */
final class RegistryUpdates {
    /** A lease renewal that says nothing new is sent on only so often, well within the lease. */
    private static final long UNCHANGED_RENEWAL_US = 1_200_000;

    private final Map<String, ReplicaRecord> replicasForPeers = new LinkedHashMap<>();
    private final Map<String, EdgeRecord> edgesForPeers = new LinkedHashMap<>();
    private final Map<String, ReplicaRecord> replicasForEdges = new LinkedHashMap<>();

    /** When the renewal of each edge was last put down for the peers. */
    private final Map<String, Long> renewalSentUs = new HashMap<>();

    private volatile boolean endPending;
    private volatile boolean digestOutdated = true;

    /**
     * A replica's row was replaced. What is new goes to the edges, and what came in directly to the
     * other daemons. That a replica drains or has ended is sent on by every daemon that hears of it
     * first, so that it also passes around a partition between two of them.
     *
     * @param direct whether the replica itself has reported it
     * @param changed whether the row says anything new
     */
    synchronized void add(ReplicaRecord replica, boolean direct, boolean changed) {
        var ends = changed && (replica.draining() || replica.ended());
        if (direct || ends) {
            replicasForPeers.put(replica.id(), replica);
        }
        if (changed) {
            digestOutdated = true;
            endPending |= ends;
            replicasForEdges.put(replica.id(), replica);
        }
    }

    /** An edge has renewed its lease here. */
    synchronized void add(EdgeRecord edge, boolean changed) {
        var sentUs = renewalSentUs.getOrDefault(edge.ip(), 0L);
        if (changed || edge.lastRenewalUs() - sentUs >= UNCHANGED_RENEWAL_US) {
            renewalSentUs.put(edge.ip(), edge.lastRenewalUs());
            edgesForPeers.put(edge.ip(), edge);
        }
    }

    /** The digest of the replicas has to be computed again. */
    void invalidateDigest() {
        digestOutdated = true;
    }

    /** Whether the digest was invalidated since the last call. */
    boolean pollDigestOutdated() {
        var outdated = digestOutdated;
        digestOutdated = false;
        return outdated;
    }

    /** Whether the replicas for the edges include one that drains or has ended. */
    boolean isEndPending() {
        return endPending;
    }

    /** The replicas for the edges; they count as sent. */
    synchronized List<ReplicaRecord> pollReplicasForEdges() {
        var replicas = new ArrayList<>(replicasForEdges.values());
        replicasForEdges.clear();
        endPending = false;
        return replicas;
    }

    /** The record for the other core daemons, if there is anything in it; it counts as sent. */
    synchronized Optional<byte[]> pollForPeers(long nowUs) {
        if (replicasForPeers.isEmpty() && edgesForPeers.isEmpty()) {
            return Optional.empty();
        }
        var update =
                RegistryRecords.update(replicasForPeers.values(), edgesForPeers.values(), nowUs);
        replicasForPeers.clear();
        edgesForPeers.clear();
        return Optional.of(update);
    }
}
