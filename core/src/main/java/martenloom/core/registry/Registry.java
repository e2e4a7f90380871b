package martenloom.core.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.fleet.ReplicaRecord;

/**
 * The registry of replicas and edges at one core daemon. What comes in directly is flooded to the
 * other cores; copies are compared by digests over ranges and mended from the newer. Rows are kept
 * in shards, each under its own lock: the HTTP side reads while the peer side writes. An edge is a
 * member while its lease is renewed; a replica that has been silent for several beats is marked so,
 * and a life that ended leaves a tombstone for a while.
 */
public final class Registry {
    private static final long EDGE_LEASE_US = 2_500_000;
    private static final long FORGET_US = 60_000_000;

    /**
     * How long it is remembered that a replica was deregistered: far longer than any beat of it can
     * be under way.
     */
    private static final long TOMBSTONE_US = 600_000_000;

    private static final int MOST_TOMBSTONES = 4_096;
    private static final long TELL_US = 1_200_000;

    private static final class Shard {
        final Map<String, ReplicaRecord> replicas = new HashMap<>();
        final Map<String, EdgeRecord> edges = new HashMap<>();
    }

    private final Shard[] shards = new Shard[DigestRanges.COUNT];
    private final long silentUs;
    private final Map<String, ReplicaRecord> freshReplicas = new LinkedHashMap<>();
    private final Map<String, EdgeRecord> freshEdges = new LinkedHashMap<>();
    private final Map<String, ReplicaRecord> changed = new LinkedHashMap<>();
    private final Map<String, Long> toldUs = new HashMap<>();
    private volatile boolean digestOld = true;
    private volatile boolean endsChanged;
    private int digest;

    public Registry(long beatUs) {
        silentUs = beatUs * 3 + 300_000;
        Arrays.setAll(shards, i -> new Shard());
    }

    private Shard of(String k) {
        return shards[DigestRanges.of(k)];
    }

    /**
     * Takes a row; true when it was newer. Direct rows are flooded on. A row that is too old to be
     * kept is not taken, so that copies which daemons pass to each other never outlive the
     * original.
     */
    public boolean take(ReplicaRecord r, boolean direct) {
        if (Clocks.nowUs() - r.lastHeartbeatUs() > keptUs(r)) {
            return false;
        }
        var s = of(r.id());
        synchronized (s) {
            var old = Optional.ofNullable(s.replicas.get(r.id()));
            if (old.isPresent() && !r.isNewerThan(old.get())) {
                return false;
            }
            s.replicas.put(r.id(), r);
            var same =
                    old.isPresent()
                                    && old.get().digest() == r.digest()
                                    && Math.abs(old.get().warmFromUs() - r.warmFromUs()) < 300_000
                            || old.isPresent()
                                    && old.get().digest() == r.digest()
                                    && r.warmFromUs() <= Clocks.nowUs()
                                    && old.get().warmFromUs() <= Clocks.nowUs();
            mark(r, direct, same);
            return true;
        }
    }

    /**
     * What is new goes to the edges, and what came in directly to the other daemons. Word that a
     * replica drains or has ended is told on by every daemon that hears of it first, so that it
     * also passes around a cut between two of them.
     */
    private synchronized void mark(ReplicaRecord r, boolean direct, boolean same) {
        var ends = !same && (r.draining() || r.ended());
        if (direct || ends) {
            freshReplicas.put(r.id(), r);
        }
        if (!same) {
            digestOld = true;
            endsChanged |= ends;
            changed.put(r.id(), r);
        }
    }

    public boolean take(EdgeRecord e, boolean direct) {
        var s = of(e.ip());
        synchronized (s) {
            var old = Optional.ofNullable(s.edges.get(e.ip()));
            if (old.isPresent() && !e.isNewerThan(old.get())) {
                return false;
            }
            s.edges.put(e.ip(), e);
            if (direct) {
                tell(e, old.map(o -> o.digest() == e.digest()).orElse(false));
            }
        }
        return true;
    }

    /** A renewal that says nothing new is told on only now and then, well within the lease. */
    private synchronized void tell(EdgeRecord e, boolean same) {
        if (!same || e.lastRenewalUs() - toldUs.getOrDefault(e.ip(), 0L) >= TELL_US) {
            toldUs.put(e.ip(), e.lastRenewalUs());
            freshEdges.put(e.ip(), e);
        }
    }

    public Optional<ReplicaRecord> replica(String id) {
        var s = of(id);
        synchronized (s) {
            return Optional.ofNullable(s.replicas.get(id));
        }
    }

    private static long keptUs(ReplicaRecord r) {
        return r.ended() ? TOMBSTONE_US : FORGET_US;
    }

    /**
     * Ends a replica for good, whether it is known or not. The tombstone that stays is newer than
     * any beat, travels as rows do, and is bounded in age and number.
     */
    public void bury(String id, long now) {
        var tombstone = new ReplicaRecord();
        replica(id)
                .ifPresent(
                        r -> {
                            tombstone.setService(r.service());
                            tombstone.setAddress(r.address());
                            tombstone.setZone(r.zone());
                            tombstone.setSequence(r.sequence() + 1);
                        });
        tombstone.setId(id);
        tombstone.setEnded(true);
        tombstone.setDraining(true);
        tombstone.setLastHeartbeatUs(now);
        take(tombstone, true);
    }

    /**
     * Whether some replica was reported as draining or ended since the last call for what changed.
     */
    public boolean endsChanged() {
        return endsChanged;
    }

    /** Forgets the oldest tombstones when there are too many. */
    private void boundTombstones() {
        var tombstones =
                replicas().stream()
                        .filter(r -> r.ended())
                        .sorted(Comparator.comparingLong((ReplicaRecord r) -> r.lastHeartbeatUs()))
                        .toList();
        for (var r : tombstones.subList(0, Math.max(0, tombstones.size() - MOST_TOMBSTONES))) {
            var s = of(r.id());
            synchronized (s) {
                s.replicas.remove(r.id());
            }
        }
    }

    /** Marks the silent and forgets the long gone. */
    public void sweep(long now) {
        var ended = 0;
        for (var s : shards) {
            synchronized (s) {
                digestOld |=
                        s.replicas.values().removeIf(r -> now - r.lastHeartbeatUs() > keptUs(r));
                s.edges.values().removeIf(e -> now - e.lastRenewalUs() > FORGET_US);
                for (var r : s.replicas.values()) {
                    ended += r.ended() ? 1 : 0;
                    if (!r.unreachable() && !r.ended() && now - r.lastHeartbeatUs() > silentUs) {
                        r.setUnreachable(true);
                        mark(r, false, false);
                    }
                }
            }
        }
        if (ended > MOST_TOMBSTONES) {
            boundTombstones();
        }
    }

    public List<ReplicaRecord> replicas() {
        return Stream.of(shards)
                .flatMap(
                        s -> {
                            synchronized (s) {
                                return new ArrayList<>(s.replicas.values()).stream();
                            }
                        })
                .sorted(Comparator.comparing(r -> r.id()))
                .toList();
    }

    public List<EdgeRecord> edges() {
        return Stream.of(shards)
                .flatMap(
                        s -> {
                            synchronized (s) {
                                return new ArrayList<>(s.edges.values()).stream();
                            }
                        })
                .sorted(Comparator.comparing(e -> e.ip()))
                .toList();
    }

    /** The members among the edges: those whose lease still runs. */
    public List<EdgeRecord> members(long now) {
        return edges().stream().filter(e -> now - e.lastRenewalUs() < EDGE_LEASE_US).toList();
    }

    public synchronized List<ReplicaRecord> pollChanged() {
        var l = new ArrayList<>(changed.values());
        changed.clear();
        endsChanged = false;
        return l;
    }

    /**
     * The rows that came in directly since the last call, as one record for the other cores; empty
     * when there are none.
     */
    public synchronized Optional<byte[]> pollFlood(long now) {
        if (freshReplicas.isEmpty() && freshEdges.isEmpty()) {
            return Optional.empty();
        }
        var b = flood(freshReplicas.values(), freshEdges.values(), now);
        freshReplicas.clear();
        freshEdges.clear();
        return Optional.of(b);
    }

    /** A flood of the row of this replica alone, as it is known here. */
    public byte[] rowFlood(String id, long now) {
        return flood(replica(id).stream().toList(), List.of(), now);
    }

    private static byte[] flood(Collection<ReplicaRecord> rs, Collection<EdgeRecord> es, long now) {
        return new RecordWriter(RecordType.REGISTRY_UPDATE)
                .i64(now)
                .list(rs, (o, r) -> r.write(o, now))
                .list(es, (o, e) -> e.write(o, now))
                .bytes();
    }

    /**
     * Takes the rows of a flood that left its sender at this time of our clock, from which their
     * ages count.
     */
    public void takeFlood(RecordReader in, long sentUs) {
        in.list(x -> take(ReplicaRecord.read(x, sentUs), false));
        in.list(x -> take(EdgeRecord.read(x, sentUs), false));
    }

    public byte[] digests() {
        var o = new RecordWriter(RecordType.REGISTRY_DIGEST);
        for (var s : shards) {
            synchronized (s) {
                o.i32(digest(s));
            }
        }
        return o.bytes();
    }

    private static int digest(Shard s) {
        var d = 0;
        for (var r : s.replicas.values()) {
            d += Objects.hash(r.id(), r.draining(), r.ended());
        }
        for (var e : s.edges.values()) {
            d += e.digest();
        }
        return d;
    }

    /** Our rows of the ranges in which a peer's digests differ from ours. */
    public Optional<byte[]> mend(RecordReader in, long now) {
        var rs = new ArrayList<ReplicaRecord>();
        var es = new ArrayList<EdgeRecord>();
        for (var s : shards) {
            var d = in.i32();
            synchronized (s) {
                if (d != digest(s)) {
                    rs.addAll(s.replicas.values());
                    es.addAll(s.edges.values());
                }
            }
        }
        return rs.isEmpty() && es.isEmpty() ? Optional.empty() : Optional.of(flood(rs, es, now));
    }

    public byte[] rows(Collection<ReplicaRecord> rs, boolean whole, long now) {
        return new RecordWriter(RecordType.REPLICA_UPDATE)
                .flag(whole)
                .list(rs, (o, r) -> r.write(o, now))
                .bytes();
    }

    /**
     * A note for the next start: the most edges ever, by which shares are divided, and the replicas
     * as they were.
     */
    public byte[] memo(int mostEdges, int mostHomes, long now) {
        return new RecordWriter()
                .i32(mostEdges)
                .i32(mostHomes)
                .list(replicas(), (o, r) -> r.write(o, now))
                .bytes();
    }

    /**
     * Takes the replicas of a note. They may be gone, which a attempt finds out, or cold, so they
     * count as cold until their next beat says otherwise. Tombstones keep their age.
     */
    public int remember(RecordReader in, long now, long coldUs) {
        return (int)
                in
                        .list(
                                x -> {
                                    var r = ReplicaRecord.read(x, now);
                                    if (r.ended()) {
                                        take(r, false);
                                        return false;
                                    }
                                    r.setLastHeartbeatUs(now);
                                    r.setUnreachable(false);
                                    r.setWarmFromUs(Math.max(r.warmFromUs(), now + coldUs));
                                    take(r, false);
                                    return true;
                                })
                        .stream()
                        .filter(live -> live)
                        .count();
    }

    /** What tells whether the note for the next start has to be written anew. */
    public int noteDigest() {
        var ended = 0;
        for (var s : shards) {
            synchronized (s) {
                for (var r : s.replicas.values()) {
                    ended += r.ended() ? r.id().hashCode() : 0;
                }
            }
        }
        return edgeDigest() * 31 + ended;
    }

    /** What an edge's copy is compared by. */
    public int edgeDigest() {
        if (digestOld) {
            digestOld = false;
            var d = 0;
            for (var s : shards) {
                synchronized (s) {
                    for (var r : s.replicas.values()) {
                        d += r.ended() ? 0 : r.digest();
                    }
                }
            }
            digest = d;
        }
        return digest;
    }
}
