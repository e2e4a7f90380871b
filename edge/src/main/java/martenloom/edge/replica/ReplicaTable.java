package martenloom.edge.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.routing.route.RouteTable;

/**
 * The replicas as this edge sees them, an endpoint for each incarnation, by id and by service. A
 * replica that was deregistered never comes back. Ejects outliers; the choice of a replica for a
 * request is the dispatcher's. Runs on the reactor thread.
 */
public final class ReplicaTable {
    private static final double MAX_EJECTED_SHARE = 0.4;
    private static final int MAX_DEREGISTERED = 4_096;
    private static final int MAX_WARMING_UP = 128;
    private static final double MAX_TIE_BREAK_COST_US = 6_000;
    private static final int TIE_BREAK_STEPS = 1000;

    /** Spreads the bits of a hash (the golden ratio of 32 bits). */
    private static final int HASH_FACTOR = 0x9E3779B9;

    private static final int HASH_SHIFT = 8;

    /**
     * Replicas that were deregistered, the oldest dropped: no record of theirs counts again, not
     * even from a home that has not heard of it.
     */
    private final Map<String, Boolean> deregistered =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_DEREGISTERED;
                }
            };

    private final Map<String, ReplicaEndpoint> replicas = new HashMap<>();
    private final Map<String, List<ReplicaEndpoint>> byService = new HashMap<>();
    private final Settings settings;
    private final LatencyPredictor predictor = new LatencyPredictor();
    private final WarmupPermits warmupPermits = new WarmupPermits();
    private int digest;
    private boolean digestOutdated = true;
    private final PeerTotalsAge peerTotalsAge = new PeerTotalsAge();
    private final ReplicaEndpoint.Surroundings surroundings =
            new ReplicaEndpoint.Surroundings(peerTotalsAge, this::onAttempt);

    /** The replicas that this edge has something to say of; see {@link #active}. */
    private final Set<ReplicaEndpoint> active = new LinkedHashSet<>();

    public ReplicaTable(Settings settings) {
        this.settings = settings;
    }

    /** What was learned of latencies, and the predictions from it. */
    public LatencyPredictor predictor() {
        return predictor;
    }

    /** What the homes lend this edge at replicas that warm up. */
    public WarmupPermits warmupPermits() {
        return warmupPermits;
    }

    /** All replicas that are not deregistered. */
    public Collection<ReplicaEndpoint> all() {
        return replicas.values();
    }

    /**
     * A copy of the replicas with attempts in flight, or with attempts in the past that still
     * matter: few, however many replicas there are.
     */
    public List<ReplicaEndpoint> active() {
        return List.copyOf(active);
    }

    private void onAttempt(ReplicaEndpoint replica) {
        if (replicas.get(replica.id()) == replica) {
            active.add(replica);
        }
    }

    /** Nothing that happened at a replica matters any more, until its next attempt. */
    public void setInactive(ReplicaEndpoint replica) {
        active.remove(replica);
    }

    /** When the totals of the other edges last came. */
    public PeerTotalsAge peerTotalsAge() {
        return peerTotalsAge;
    }

    public Optional<ReplicaEndpoint> find(String id) {
        return Optional.ofNullable(replicas.get(id));
    }

    public List<ReplicaEndpoint> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** The replicas of a region that warm up, of services that bound what one may get meanwhile. */
    public List<String> warmingUp(String region, RouteTable table, long now) {
        var ids = new ArrayList<String>();
        for (var replica : replicas.values()) {
            var service = table.services().get(replica.service());
            if (service != null
                    && service.warmupRequestsPerS() > 0
                    && replica.region().equals(region)
                    && !replica.isWarm(now)
                    && !replica.isDraining()
                    && ids.size() < MAX_WARMING_UP) {
                ids.add(replica.id());
            }
        }
        return ids;
    }

    /** Takes a sample of the prefill rate of a replica, in tokens a millisecond. */
    public void learnPrefillRate(ReplicaEndpoint replica, double tokensPerMs) {
        predictor.learnPrefillRate(replica, ofService(replica.service()), tokensPerMs);
    }

    /**
     * Ejects a replica when the outcomes at all edges, or those at the edges of our zone alone,
     * speak against it, but no more than a share of the replicas of its service and region, and so
     * never all of them.
     */
    public void ejectIfOutlier(
            ReplicaEndpoint replica,
            int successes,
            int failures,
            int zoneSuccesses,
            int zoneFailures,
            long now) {
        if (!replica.health().isOutlier(successes, failures, now)
                && !replica.health().isOutlier(zoneSuccesses, zoneFailures, now)) {
            return;
        }
        if (!mayEjectOneMore(replica, now)) {
            return;
        }
        replica.health().eject(now);
        RingLog.debug(
                "replica "
                        + replica.id()
                        + " is ejected: "
                        + failures
                        + " of "
                        + (successes + failures)
                        + " failed, in our zone "
                        + zoneFailures
                        + " of "
                        + (zoneSuccesses + zoneFailures));
    }

    private boolean mayEjectOneMore(ReplicaEndpoint replica, long now) {
        var peers = 0;
        var ejected = 0;
        for (var peer : ofService(replica.service())) {
            if (peer.region().equals(replica.region()) && peer.isAvailable()) {
                peers++;
                ejected += peer.health().isEjected(now) ? 1 : 0;
            }
        }
        return ejected + 1 <= peers * MAX_EJECTED_SHARE;
    }

    /** Takes a record of the registry, unless a newer one or the end of the replica is known. */
    public void register(ReplicaRecord newer) {
        digestOutdated = true;
        if (newer.ended()) {
            deregistered.put(newer.id(), true);
        } else if (deregistered.containsKey(newer.id())) {
            return;
        }
        var known = replicas.get(newer.id());
        if (known == null) {
            if (!newer.ended()) {
                add(newer);
            }
            return;
        }
        if (newer.sequence() >= known.registration().sequence() || newer.ended()) {
            known.register(newer);
        }
        if (known.isDeregistered()) {
            remove(known);
        }
    }

    private void add(ReplicaRecord first) {
        var replica =
                new ReplicaEndpoint(
                        first,
                        settings.regionOf(first.zone()),
                        tieBreakCostUs(first.id()),
                        new LatencyEstimate(predictor.serviceRate(first.service())),
                        surroundings,
                        Clocks.nowUs());
        replicas.put(first.id(), replica);
        byService.computeIfAbsent(first.service(), service -> new ArrayList<>()).add(replica);
    }

    private double tieBreakCostUs(String id) {
        var hash = (settings.ipAddress() + id).hashCode() * HASH_FACTOR >>> HASH_SHIFT;
        return Math.floorMod(hash, TIE_BREAK_STEPS) * MAX_TIE_BREAK_COST_US / TIE_BREAK_STEPS;
    }

    /** Removes a replica; its attempts in flight go on. */
    public void remove(ReplicaEndpoint replica) {
        digestOutdated = true;
        replica.deregister();
        replicas.remove(replica.id());
        active.remove(replica);
        byService.getOrDefault(replica.service(), new ArrayList<>()).remove(replica);
        replica.connections().closeIdle();
    }

    /** The last record of each replica. */
    public List<ReplicaRecord> registrations() {
        return replicas.values().stream().map(ReplicaEndpoint::registration).toList();
    }

    /** The sum of the digests of all records, by which an edge and its home compare them. */
    public int digest() {
        if (digestOutdated) {
            digestOutdated = false;
            digest = 0;
            for (var replica : replicas.values()) {
                digest += replica.isDeregistered() ? 0 : replica.registration().digest();
            }
        }
        return digest;
    }
}
