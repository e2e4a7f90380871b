package martenloom.core.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;

/**
 * What has changed in a registry and was not sent on yet: replicas for the edges, and replicas and
 * edges for the other core daemons. Thread-safe.
 */
final class RegistryUpdates {
    /** A lease renewal that says nothing new is sent on only so often, well within the lease. */
    private static final long UNCHANGED_RENEWAL_US = 1_200_000;

    private final Map<String, ReplicaRecord> changedReplicas = new LinkedHashMap<>();
    private final Map<String, ReplicaRecord> unchangedReplicas = new LinkedHashMap<>();
    private final Map<String, EdgeRecord> changedEdges = new LinkedHashMap<>();
    private final Map<String, EdgeRecord> unchangedEdges = new LinkedHashMap<>();
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
     * <p>A replica that drains or warms up is sent whole with each of its heartbeats, since a peer
     * that has missed the beginning of it could not tell from its number alone.
     *
     * @param direct whether the replica itself has reported it
     * @param changed whether the row says anything new
     */
    synchronized void add(ReplicaRecord replica, boolean direct, boolean changed) {
        var ends = changed && (replica.draining() || replica.ended());
        if (direct || ends) {
            var whole = changed || replica.draining() || replica.warmFromUs() > Clocks.nowUs();
            put(replica.id(), replica, whole, changedReplicas, unchangedReplicas);
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
            put(edge.ip(), edge, changed, changedEdges, unchangedEdges);
        }
    }

    private static <R> void put(
            String key, R row, boolean whole, Map<String, R> changed, Map<String, R> unchanged) {
        if (whole || changed.containsKey(key)) {
            unchanged.remove(key);
            changed.put(key, row);
        } else {
            unchanged.put(key, row);
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

    /** What is to be sent to the other core daemons; it counts as sent. */
    synchronized PeerUpdate pollForPeers(long nowUs) {
        var anyChanged = !changedReplicas.isEmpty() || !changedEdges.isEmpty();
        var anyUnchanged = !unchangedReplicas.isEmpty() || !unchangedEdges.isEmpty();
        var changedRows =
                anyChanged
                        ? Optional.of(
                                RegistryRecords.rows(
                                        changedReplicas.values(), changedEdges.values(), nowUs))
                        : Optional.<byte[]>empty();
        var liveness =
                anyUnchanged
                        ? Optional.of(
                                RegistryRecords.liveness(
                                        unchangedReplicas.values(), unchangedEdges.values(), nowUs))
                        : Optional.<byte[]>empty();
        changedReplicas.putAll(unchangedReplicas);
        changedEdges.putAll(unchangedEdges);
        var allRows =
                anyChanged || anyUnchanged
                        ? Optional.of(
                                RegistryRecords.update(
                                        changedReplicas.values(), changedEdges.values(), nowUs))
                        : Optional.<byte[]>empty();
        changedReplicas.clear();
        unchangedReplicas.clear();
        changedEdges.clear();
        unchangedEdges.clear();
        return new PeerUpdate(changedRows, liveness, allRows);
    }
}
