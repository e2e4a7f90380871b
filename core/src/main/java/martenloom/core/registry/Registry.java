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
import martenloom.common.codec.Codec;
import martenloom.common.fleet.FleetRecords;

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
    private static final long TELL_US = 1_200_000;

    private static final class Shard {
        final Map<String, FleetRecords.Replica> replicas = new HashMap<>();
        final Map<String, FleetRecords.Edge> edges = new HashMap<>();
    }

    private final Shard[] shards = new Shard[FleetRecords.RANGES];
    private final long silentUs;
    private final Map<String, FleetRecords.Replica> freshReplicas = new LinkedHashMap<>();
    private final Map<String, FleetRecords.Edge> freshEdges = new LinkedHashMap<>();
    private final Map<String, FleetRecords.Replica> changed = new LinkedHashMap<>();
    private final Map<String, Long> toldUs = new HashMap<>();
    private volatile boolean digestOld = true;
    private int digest;

    public Registry(long beatUs) {
        silentUs = beatUs * 3 + 300_000;
        Arrays.setAll(shards, i -> new Shard());
    }

    private Shard of(String k) {
        return shards[FleetRecords.range(k)];
    }

    /** Takes a row; true when it was newer. Direct rows are flooded on. */
    public boolean take(FleetRecords.Replica r, boolean direct) {
        var s = of(r.id);
        synchronized (s) {
            var old = Optional.ofNullable(s.replicas.get(r.id));
            if (old.isPresent() && !r.newer(old.get())) {
                return false;
            }
            s.replicas.put(r.id, r);
            var same =
                    old.isPresent()
                                    && old.get().digest() == r.digest()
                                    && Math.abs(old.get().warmAtUs - r.warmAtUs) < 300_000
                            || old.isPresent()
                                    && old.get().digest() == r.digest()
                                    && r.warmAtUs <= Clocks.nowUs()
                                    && old.get().warmAtUs <= Clocks.nowUs();
            mark(r, direct, same);
            return true;
        }
    }

    private synchronized void mark(FleetRecords.Replica r, boolean direct, boolean same) {
        if (direct) {
            freshReplicas.put(r.id, r);
        }
        if (!same) {
            digestOld = true;
            changed.put(r.id, r);
        }
    }

    public boolean take(FleetRecords.Edge e, boolean direct) {
        var s = of(e.ip);
        synchronized (s) {
            var old = Optional.ofNullable(s.edges.get(e.ip));
            if (old.isPresent() && !e.newer(old.get())) {
                return false;
            }
            s.edges.put(e.ip, e);
            if (direct) {
                tell(e, old.map(o -> o.digest() == e.digest()).orElse(false));
            }
        }
        return true;
    }

    /** A renewal that says nothing new is told on only now and then, well within the lease. */
    private synchronized void tell(FleetRecords.Edge e, boolean same) {
        if (!same || e.heardUs - toldUs.getOrDefault(e.ip, 0L) >= TELL_US) {
            toldUs.put(e.ip, e.heardUs);
            freshEdges.put(e.ip, e);
        }
    }

    public Optional<FleetRecords.Replica> replica(String id) {
        var s = of(id);
        synchronized (s) {
            return Optional.ofNullable(s.replicas.get(id));
        }
    }

    /** Marks the silent and forgets the long gone. */
    public void sweep(long now) {
        for (var s : shards) {
            synchronized (s) {
                digestOld |= s.replicas.values().removeIf(r -> now - r.heardUs > FORGET_US);
                s.edges.values().removeIf(e -> now - e.heardUs > FORGET_US);
                for (var r : s.replicas.values()) {
                    if (!r.silent && !r.gone && now - r.heardUs > silentUs) {
                        r.silent = true;
                        mark(r, false, false);
                    }
                }
            }
        }
    }

    public List<FleetRecords.Replica> replicas() {
        return Stream.of(shards)
                .flatMap(
                        s -> {
                            synchronized (s) {
                                return new ArrayList<>(s.replicas.values()).stream();
                            }
                        })
                .sorted(Comparator.comparing(r -> r.id))
                .toList();
    }

    public List<FleetRecords.Edge> edges() {
        return Stream.of(shards)
                .flatMap(
                        s -> {
                            synchronized (s) {
                                return new ArrayList<>(s.edges.values()).stream();
                            }
                        })
                .sorted(Comparator.comparing(e -> e.ip))
                .toList();
    }

    /** The members among the edges: those whose lease still runs. */
    public List<FleetRecords.Edge> members(long now) {
        return edges().stream().filter(e -> now - e.heardUs < EDGE_LEASE_US).toList();
    }

    public synchronized List<FleetRecords.Replica> pollChanged() {
        var l = new ArrayList<>(changed.values());
        changed.clear();
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

    private static byte[] flood(
            Collection<FleetRecords.Replica> rs, Collection<FleetRecords.Edge> es, long now) {
        return new Codec.Out(FleetRecords.FLOOD)
                .list(rs, (o, r) -> r.write(o, now))
                .list(es, (o, e) -> e.write(o, now))
                .bytes();
    }

    public void takeFlood(Codec.In in, long now) {
        in.list(x -> take(FleetRecords.Replica.read(x, now), false));
        in.list(x -> take(FleetRecords.Edge.read(x, now), false));
    }

    public byte[] digests() {
        var o = new Codec.Out(FleetRecords.DIGEST);
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
            d += Objects.hash(r.id, r.draining, r.gone);
        }
        for (var e : s.edges.values()) {
            d += e.digest();
        }
        return d;
    }

    /** Our rows of the ranges in which a peer's digests differ from ours. */
    public Optional<byte[]> mend(Codec.In in, long now) {
        var rs = new ArrayList<FleetRecords.Replica>();
        var es = new ArrayList<FleetRecords.Edge>();
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

    public byte[] rows(Collection<FleetRecords.Replica> rs, boolean whole, long now) {
        return new Codec.Out(FleetRecords.REPLICAS)
                .flag(whole)
                .list(rs, (o, r) -> r.write(o, now))
                .bytes();
    }

    /**
     * A note for the next start: the most edges ever, by which shares are divided, and the replicas
     * as they were.
     */
    public byte[] memo(int mostEdges, int mostHomes, long now) {
        return new Codec.Out()
                .i32(mostEdges)
                .i32(mostHomes)
                .list(replicas(), (o, r) -> r.write(o, now))
                .bytes();
    }

    /**
     * Takes the replicas of a note. They may be gone, which a attempt finds out, or cold, so they
     * count as cold until their next beat says otherwise.
     */
    public int remember(Codec.In in, long now, long coldUs) {
        return in.list(
                        x -> {
                            var r = FleetRecords.Replica.read(x, now);
                            r.heardUs = now;
                            r.silent = false;
                            r.warmAtUs = Math.max(r.warmAtUs, now + coldUs);
                            return take(r, false);
                        })
                .size();
    }

    /** What an edge's copy is compared by. */
    public int edgeDigest() {
        if (digestOld) {
            digestOld = false;
            var d = 0;
            for (var s : shards) {
                synchronized (s) {
                    for (var r : s.replicas.values()) {
                        d += r.gone ? 0 : r.digest();
                    }
                }
            }
            digest = d;
        }
        return digest;
    }
}
