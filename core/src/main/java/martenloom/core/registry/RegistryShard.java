package martenloom.core.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.ReplicaRecord;

/**
 * The rows of one digest range of the registry. Every change of a row is noted in the {@link
 * RegistryUpdates} under the lock of the shard, so that they see changes in the order of the rows.
 * Thread-safe.
 */
final class RegistryShard {
    /** How long an edge or a replica that is not heard is kept. */
    private static final long RETENTION_US = 60_000_000;

    /**
     * How long the tombstone of a replica is kept: far longer than a heartbeat can be under way.
     */
    private static final long TOMBSTONE_RETENTION_US = 600_000_000;

    /** A change of the end of warm-up by less than this is nothing new. */
    private static final long WARMUP_TOLERANCE_US = 300_000;

    private final RegistryUpdates updates;
    private final Map<String, ReplicaRecord> replicas = new HashMap<>();
    private final Map<String, EdgeRecord> edges = new HashMap<>();

    RegistryShard(RegistryUpdates updates) {
        this.updates = updates;
    }

    /** Whether a row is so old that it is not kept. */
    static boolean isOutdated(ReplicaRecord replica, long nowUs) {
        var retentionUs = replica.ended() ? TOMBSTONE_RETENTION_US : RETENTION_US;
        return nowUs - replica.lastHeartbeatUs() > retentionUs;
    }

    /** Takes a row unless it is older than the one that is known. */
    synchronized boolean accept(ReplicaRecord replica, boolean direct) {
        var known = Optional.ofNullable(replicas.get(replica.id()));
        if (known.isPresent() && !replica.isNewerThan(known.get())) {
            return false;
        }
        replicas.put(replica.id(), replica);
        updates.add(replica, direct, known.isEmpty() || differ(known.get(), replica));
        return true;
    }

    /** Whether a new row says anything that an edge does not know from the old one. */
    private static boolean differ(ReplicaRecord known, ReplicaRecord replica) {
        if (known.digest() != replica.digest()) {
            return true;
        }
        var nowUs = Clocks.nowUs();
        var bothWarm = replica.warmFromUs() <= nowUs && known.warmFromUs() <= nowUs;
        return !bothWarm
                && Math.abs(known.warmFromUs() - replica.warmFromUs()) >= WARMUP_TOLERANCE_US;
    }

    /** Takes a row unless it is older than the one that is known. */
    synchronized boolean accept(EdgeRecord edge, boolean direct) {
        var known = Optional.ofNullable(edges.get(edge.ip()));
        if (known.isPresent() && !edge.isNewerThan(known.get())) {
            return false;
        }
        edges.put(edge.ip(), edge);
        if (direct) {
            updates.add(edge, known.isEmpty() || differ(known.get(), edge));
        }
        return true;
    }

    private static boolean differ(EdgeRecord known, EdgeRecord edge) {
        return known.digest() != edge.digest()
                || known.configurationRevision() != edge.configurationRevision();
    }

    /** Another daemon has heard a heartbeat of a replica which says nothing new. */
    synchronized void acceptReplica(LivenessRecord liveness, long sentUs) {
        Optional.ofNullable(replicas.get(liveness.key()))
                .map(known -> known.withHeartbeat(liveness.sequence(), liveness.heardUs(sentUs)))
                .filter(newer -> newer.digest() == liveness.digest())
                .filter(newer -> !isOutdated(newer, Clocks.nowUs()))
                .ifPresent(newer -> accept(newer, false));
    }

    /** Another daemon has heard a renewal of an edge which says nothing new. */
    synchronized void acceptEdge(LivenessRecord liveness, long sentUs) {
        Optional.ofNullable(edges.get(liveness.key()))
                .filter(known -> known.digest() == liveness.digest())
                .map(known -> known.withRenewal(liveness.sequence(), liveness.heardUs(sentUs)))
                .ifPresent(newer -> accept(newer, false));
    }

    synchronized Optional<ReplicaRecord> replica(String id) {
        return Optional.ofNullable(replicas.get(id));
    }

    synchronized void removeReplica(String id) {
        replicas.remove(id);
    }

    synchronized void copyReplicasTo(Collection<ReplicaRecord> copy) {
        copy.addAll(replicas.values());
    }

    synchronized void copyEdgesTo(Collection<EdgeRecord> copy) {
        copy.addAll(edges.values());
    }

    /**
     * Forgets what is outdated and marks the replicas that are no longer heard as unreachable.
     *
     * @param timeoutUs the silence after which a replica counts as unreachable
     * @return the number of tombstones that are left
     */
    synchronized int sweep(long nowUs, long timeoutUs) {
        if (replicas.values().removeIf(replica -> isOutdated(replica, nowUs))) {
            updates.invalidateDigest();
        }
        edges.values().removeIf(edge -> nowUs - edge.lastRenewalUs() > RETENTION_US);
        var tombstones = 0;
        for (var replica : replicas.values()) {
            if (replica.ended()) {
                tombstones++;
            } else if (!replica.unreachable() && nowUs - replica.lastHeartbeatUs() > timeoutUs) {
                replica.setUnreachable(true);
                updates.add(replica, false, true);
            }
        }
        return tombstones;
    }

    /** What the copies of this range at two core daemons are compared by. */
    synchronized int digest() {
        var digest = 0;
        for (var replica : replicas.values()) {
            digest += digestAmongPeers(replica);
        }
        for (var edge : edges.values()) {
            digest += edge.digest();
        }
        return digest;
    }

    private static int digestAmongPeers(ReplicaRecord replica) {
        return Objects.hash(replica.id(), replica.draining(), replica.ended());
    }

    /** Adds the digests of the rows to those of the finer ranges. */
    synchronized void addDigestsTo(int[] digests) {
        for (var replica : replicas.values()) {
            digests[DigestRanges.fine(replica.id())] += digestAmongPeers(replica);
        }
        for (var edge : edges.values()) {
            digests[DigestRanges.fine(edge.ip())] += edge.digest();
        }
    }

    /** The sum of the digests of the replicas that have not ended. */
    synchronized int liveReplicaDigest() {
        var digest = 0;
        for (var replica : replicas.values()) {
            digest += replica.ended() ? 0 : replica.digest();
        }
        return digest;
    }

    /** The sum of the hashes of the replicas that have ended. */
    synchronized int tombstoneDigest() {
        var digest = 0;
        for (var replica : replicas.values()) {
            digest += replica.ended() ? replica.id().hashCode() : 0;
        }
        return digest;
    }
}
