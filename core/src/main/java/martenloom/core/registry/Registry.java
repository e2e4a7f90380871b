package martenloom.core.registry;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.fleet.ReplicaRows;

/**
 * The registry of replicas and edges at one core daemon. Rows that come in directly are sent to the
 * other core daemons; the copies are compared by digests over ranges and repaired from the newer
 * row.
 *
 * <p>A replica is reachable while its heartbeats come in, then unreachable, and forgotten after a
 * while; one that was deregistered leaves a tombstone, which is newer than any heartbeat. An edge
 * is live while its lease is renewed. Thread-safe: the rows lie in shards, each under a lock of its
 * own.
 */
public final class Registry {
    /** How long an edge stays live after it has renewed its lease. */
    private static final long EDGE_LEASE_US = 2_500_000;

    /** A replica is unreachable after so many heartbeats in a row were missed, and the slack. */
    private static final int MISSED_HEARTBEATS = 3;

    private static final long HEARTBEAT_SLACK_US = 300_000;

    private static final int MAX_TOMBSTONES = 4_096;
    private static final int HASH_FACTOR = 31;

    private final RegistryShard[] shards = new RegistryShard[DigestRanges.COUNT];
    private final RegistryUpdates updates = new RegistryUpdates();
    private final long unreachableAfterUs;
    private int replicaDigest;

    /**
     * @param heartbeatIntervalUs how often replicas send heartbeats
     */
    public Registry(long heartbeatIntervalUs) {
        unreachableAfterUs = heartbeatIntervalUs * MISSED_HEARTBEATS + HEARTBEAT_SLACK_US;
        Arrays.setAll(shards, unused -> new RegistryShard(updates));
    }

    private RegistryShard shardOf(String key) {
        return shards[DigestRanges.of(key)];
    }

    // ---- rows

    /**
     * Takes a row of a replica; false when it is not newer than the one that is known. A row that
     * is too old to be kept is not taken either, so that copies which daemons pass to each other
     * never outlive the original.
     *
     * @param direct whether the replica itself has reported it, so that it is to be sent on
     */
    public boolean accept(ReplicaRecord replica, boolean direct) {
        return !RegistryShard.isOutdated(replica, Clocks.nowUs())
                && shardOf(replica.id()).accept(replica, direct);
    }

    /**
     * Takes a row of an edge; false when it is not newer than the one that is known.
     *
     * @param direct whether the edge itself has reported it, so that it is to be sent on
     */
    public boolean accept(EdgeRecord edge, boolean direct) {
        return shardOf(edge.ip()).accept(edge, direct);
    }

    /**
     * Ends a replica for good, whether it is known or not. The tombstone that stays is newer than
     * any heartbeat, travels as rows do, and is bounded in age and number.
     */
    public void markEnded(String id, long nowUs) {
        var tombstone = new ReplicaRecord();
        replica(id)
                .ifPresent(
                        known -> {
                            tombstone.setService(known.service());
                            tombstone.setAddress(known.address());
                            tombstone.setZone(known.zone());
                            tombstone.setSequence(known.sequence() + 1);
                        });
        tombstone.setId(id);
        tombstone.setEnded(true);
        tombstone.setDraining(true);
        tombstone.setLastHeartbeatUs(nowUs);
        accept(tombstone, true);
    }

    /** The row of a replica, which may be a tombstone. */
    public Optional<ReplicaRecord> replica(String id) {
        return shardOf(id).replica(id);
    }

    /** All replicas with the tombstones, in the order of their ids. */
    public List<ReplicaRecord> replicas() {
        var replicas = new ArrayList<ReplicaRecord>();
        for (var shard : shards) {
            shard.copyReplicasTo(replicas);
        }
        replicas.sort(Comparator.comparing(ReplicaRecord::id));
        return replicas;
    }

    /** The edges whose lease runs, in the order of their addresses. */
    public List<EdgeRecord> liveEdges(long nowUs) {
        var edges = new ArrayList<EdgeRecord>();
        for (var shard : shards) {
            shard.copyEdgesTo(edges);
        }
        edges.removeIf(edge -> nowUs - edge.lastRenewalUs() >= EDGE_LEASE_US);
        edges.sort(Comparator.comparing(EdgeRecord::ip));
        return edges;
    }

    /** Marks the replicas that are no longer heard and forgets what is outdated. */
    public void sweep(long nowUs) {
        var tombstones = 0;
        for (var shard : shards) {
            tombstones += shard.sweep(nowUs, unreachableAfterUs);
        }
        if (tombstones > MAX_TOMBSTONES) {
            removeOldestTombstones();
        }
    }

    private void removeOldestTombstones() {
        var tombstones = replicas();
        tombstones.removeIf(replica -> !replica.ended());
        tombstones.sort(Comparator.comparingLong(ReplicaRecord::lastHeartbeatUs));
        for (var tombstone :
                tombstones.subList(0, Math.max(0, tombstones.size() - MAX_TOMBSTONES))) {
            shardOf(tombstone.id()).removeReplica(tombstone.id());
        }
    }

    // ---- updates to edges

    /** Whether the changed replicas include one that drains or has ended. */
    public boolean isEndPending() {
        return updates.isEndPending();
    }

    /** The replicas that have changed since the last call, if there are any. */
    public Optional<ReplicaChanges> pollChangedReplicas(long nowUs) {
        var changed = updates.pollReplicasForEdges();
        if (updates.pollDigestOutdated()) {
            replicaDigest = digestOfReplicas();
        }
        return changed.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new ReplicaChanges(
                                RegistryRecords.replicaUpdate(changed, false, nowUs),
                                RegistryRecords.replicaChanges(changed, nowUs)));
    }

    /** The record of all replicas. */
    public byte[] allReplicas(long nowUs) {
        return RegistryRecords.replicaUpdate(replicas(), true, nowUs);
    }

    /**
     * What an edge lacks that has told its digests: all replicas of the ranges that differ, and
     * those elsewhere that warm up or drain, since when these end is in no digest.
     */
    public byte[] replicasMissing(List<Integer> edgeDigests, long nowUs) {
        var replicas = replicas();
        var digests = DigestRanges.replicaDigests(replicas);
        var ranges = new TreeSet<Integer>();
        for (var range = 0; range < digests.length; range++) {
            if (range >= edgeDigests.size() || edgeDigests.get(range) != digests[range]) {
                ranges.add(range);
            }
        }
        replicas.removeIf(
                replica ->
                        !ranges.contains(DigestRanges.fine(replica.id()))
                                && !replica.draining()
                                && replica.warmFromUs() <= nowUs);
        return RegistryRecords.replicaRanges(ranges, replicas, nowUs);
    }

    /**
     * What the copy of the replicas at an edge is compared by: the digest of all replicas as they
     * were when changes were last polled, so that an edge that has taken every update has the same.
     */
    public int replicaDigest() {
        return replicaDigest;
    }

    private int digestOfReplicas() {
        var digest = 0;
        for (var shard : shards) {
            digest += shard.liveReplicaDigest();
        }
        return digest;
    }

    // ---- updates to and from other core daemons

    /** The rows that came in directly since the last call. */
    public PeerUpdate pollUpdate(long nowUs) {
        return updates.pollForPeers(nowUs);
    }

    /** The record of the row of one replica, as it is known here. */
    public byte[] updateOf(String replicaId, long nowUs) {
        return RegistryRecords.update(replica(replicaId).stream().toList(), List.of(), nowUs);
    }

    /**
     * Takes the rows of another core daemon.
     *
     * @param sentUs the time by our clock at which they were sent, from which their ages count
     */
    public void acceptUpdate(RecordReader in, long sentUs) {
        in.list(row -> accept(ReplicaRecord.read(row, sentUs), false));
        in.list(row -> accept(EdgeRecord.read(row, sentUs), false));
    }

    /**
     * Takes the heartbeats and renewals that say nothing new of another core daemon.
     *
     * @param sentUs the time by our clock at which they were sent, from which their ages count
     */
    public void acceptLiveness(RecordReader in, long sentUs) {
        for (var liveness : in.shortList(LivenessRecord::read)) {
            shardOf(liveness.key()).acceptReplica(liveness, sentUs);
        }
        for (var liveness : in.shortList(LivenessRecord::read)) {
            shardOf(liveness.key()).acceptEdge(liveness, sentUs);
        }
    }

    /** Like {@link #acceptUpdate}, in short rows. */
    public void acceptRows(RecordReader in, long sentUs) {
        ReplicaRows.read(in, sentUs).forEach(replica -> accept(replica, false));
        in.shortList(row -> accept(EdgeRecord.read(row, sentUs), false));
    }

    /** The record of the digests of our rows, by the ranges of the short forms. */
    public byte[] rangeDigests() {
        return new RecordWriter(RecordType.REGISTRY_RANGE_DIGESTS)
                .shortList(IntArrayList.wrap(fineDigests()), RecordWriter::i32)
                .bytes();
    }

    private int[] fineDigests() {
        var digests = new int[DigestRanges.FINE_COUNT];
        for (var shard : shards) {
            shard.addDigestsTo(digests);
        }
        return digests;
    }

    /** The record of our rows of the ranges in which the digests of another daemon differ. */
    public Optional<byte[]> answerRangeDigests(RecordReader in, long nowUs) {
        var theirs = in.shortList(RecordReader::i32);
        var ours = fineDigests();
        var replicas = new ArrayList<ReplicaRecord>();
        var edges = new ArrayList<EdgeRecord>();
        for (var shard : shards) {
            shard.copyReplicasTo(replicas);
            shard.copyEdgesTo(edges);
        }
        replicas.removeIf(replica -> !differs(replica.id(), ours, theirs));
        edges.removeIf(edge -> !differs(edge.ip(), ours, theirs));
        return replicas.isEmpty() && edges.isEmpty()
                ? Optional.empty()
                : Optional.of(RegistryRecords.rows(replicas, edges, nowUs));
    }

    private static boolean differs(String key, int[] ours, List<Integer> theirs) {
        var range = DigestRanges.fine(key);
        return range >= theirs.size() || ours[range] != theirs.get(range);
    }

    /** The record of the digests of our rows, by range. */
    public byte[] digests() {
        var out = new RecordWriter(RecordType.REGISTRY_DIGEST);
        for (var shard : shards) {
            out.i32(shard.digest());
        }
        return out.bytes();
    }

    /** The record of our rows of the ranges in which the digests of another daemon differ. */
    public Optional<byte[]> answerDigests(RecordReader digests, long nowUs) {
        var replicas = new ArrayList<ReplicaRecord>();
        var edges = new ArrayList<EdgeRecord>();
        for (var shard : shards) {
            if (digests.i32() != shard.digest()) {
                shard.copyReplicasTo(replicas);
                shard.copyEdgesTo(edges);
            }
        }
        return replicas.isEmpty() && edges.isEmpty()
                ? Optional.empty()
                : Optional.of(RegistryRecords.update(replicas, edges, nowUs));
    }

    // ---- checkpoint

    /** What changes when the checkpoint on disk has to be written again. */
    int checkpointDigest() {
        var tombstones = 0;
        for (var shard : shards) {
            tombstones += shard.tombstoneDigest();
        }
        return digestOfReplicas() * HASH_FACTOR + tombstones;
    }

    /** Appends all replicas to a checkpoint. */
    RecordWriter writeReplicas(RecordWriter out, long nowUs) {
        return out.list(replicas(), (row, replica) -> replica.write(row, nowUs));
    }

    /**
     * Takes the replicas of a checkpoint. They may have ended, which an attempt finds out, or be
     * warming up, so they count as warming up until their next heartbeat says otherwise. Tombstones
     * keep their age.
     *
     * @param warmupUs how long they count as warming up at most
     * @return the number of replicas that are not tombstones
     */
    int restoreReplicas(RecordReader in, long nowUs, long warmupUs) {
        return (int)
                in.list(row -> restore(ReplicaRecord.read(row, nowUs), nowUs, warmupUs)).stream()
                        .filter(live -> live)
                        .count();
    }

    private boolean restore(ReplicaRecord replica, long nowUs, long warmupUs) {
        if (!replica.ended()) {
            replica.setLastHeartbeatUs(nowUs);
            replica.setUnreachable(false);
            replica.setWarmFromUs(Math.max(replica.warmFromUs(), nowUs + warmupUs));
        }
        accept(replica, false);
        return !replica.ended();
    }
}
