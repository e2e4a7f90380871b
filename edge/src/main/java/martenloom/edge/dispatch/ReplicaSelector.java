package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.settings.Settings;
import martenloom.edge.overload.OverloadReceiver;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/**
 * The owner of the question which replica an request goes to: the table of routes, who is evacuated
 * or rests, the shares of what all edges may do together, homes, kept parts, predicted times, and
 * the overload reports in force. It changes nothing but counts of what was kept away; the
 * dispatcher acts on its answer.
 */
final class ReplicaSelector {
    static final int LARGE = 1000;
    private static final int LARGE_KIND = 2000;
    private static final double CROWD = 0.5;
    private static final int CROWD_LEAST = 20;
    private static final double AFFINITY_US = 15_000;
    private static final double[] JOB_FILL = {0.4, 0.6, 0.8, 1.0};
    private static final double[] JOB_TIME = {0.35, 0.6, 1.0, 4.0};

    private final Settings settings;
    private final ReplicaTable replicaTable;
    private final PrefixOwners places;
    private final OverloadReceiver reports;
    private RouteTable table = RouteTable.EMPTY;
    private Set<String> evacuated = Set.of();
    private Map<String, ReplicaPlacement> placed = Map.of();
    private int edges = 1;
    private int turn = new Random().nextInt(1 << 20);
    private long spilled;

    ReplicaSelector(
            Settings p, ReplicaTable replicaTable, PrefixOwners places, OverloadReceiver reports) {
        settings = p;
        this.replicaTable = replicaTable;
        this.places = places;
        this.reports = reports;
    }

    RouteTable table() {
        return table;
    }

    long spilled() {
        return spilled;
    }

    void onTable(RouteTable t) {
        table = t;
        markResting();
    }

    void onPlaced(Map<String, ReplicaPlacement> p) {
        placed = p;
        markResting();
    }

    private void markResting() {
        replicaTable.all().forEach(this::markResting);
    }

    void markResting(ReplicaEndpoint s) {
        var svc =
                Optional.ofNullable(table.services().get(s.service()))
                        .filter(x -> x.inferenceEngine());
        var p = svc.flatMap(x -> Optional.ofNullable(placed.get(s.region() + "/" + x.model())));
        s.setUnloaded(p.isPresent() && (p.get().pinned() || p.get().resting().contains(s.id())));
    }

    /**
     * Whether everything that could serve this request rests: then it may wait for one to be woken.
     */
    boolean asleep(Request e) {
        if (placed.isEmpty()) {
            return false;
        }
        var l =
                replicaTable.ofService(e.service).stream()
                        .filter(
                                s ->
                                        e.route.allows(s.region())
                                                && !s.isDraining()
                                                && !s.isUnresponsive()
                                                && !evacuated.contains(s.zone()))
                        .toList();
        return !l.isEmpty() && l.stream().allMatch(s -> s.isUnloaded());
    }

    void onEvacuated(Set<String> zones, long now) {
        for (var s : replicaTable.all()) {
            if (evacuated.contains(s.zone()) && !zones.contains(s.zone())) {
                var w =
                        Optional.ofNullable(table.services().get(s.service()))
                                .map(x -> x.warmupUs())
                                .orElse(0L);
                s.warmup().restart(w == 0 ? 0 : now + w + 1_500_000);
            }
        }
        evacuated = Set.copyOf(zones);
    }

    void onEdges(int n) {
        edges = Math.max(1, n);
    }

    int edges() {
        return edges;
    }

    Set<String> evacuated() {
        return evacuated;
    }

    // ---- room for deferred jobs

    /**
     * Whether some replica has room to spare for a job of this urgency, past what interactive
     * requests need.
     */
    boolean jobRoom(String route, int urgency) {
        var r = table.routes().stream().filter(x -> x.name().equals(route)).findFirst();
        return r.isPresent()
                && r.get().trafficSplit().stream()
                        .anyMatch(
                                s ->
                                        replicaTable.ofService(s.service()).stream()
                                                .anyMatch(
                                                        x ->
                                                                jobRoom(
                                                                        x,
                                                                        r.get(),
                                                                        urgency,
                                                                        Clocks.nowUs())));
    }

    private boolean jobRoom(ReplicaEndpoint s, Route r, int urgency, long now) {
        var in = s.load().inFlight(now);
        var ahead = (s.load().pendingPrefillTokens(now)) / s.latency().prefillTokensPerMs() * 1000;
        return r.allows(s.region())
                && !s.isDraining()
                && !s.isUnresponsive()
                && !s.isDeregistered()
                && !s.reachability().isSuspected(now)
                && !evacuated.contains(s.zone())
                && (s.isWarm(now) || urgency > 2)
                && in < Math.max(1, s.capacity() * JOB_FILL[urgency])
                && ahead < r.latencyTargetUs() * JOB_TIME[urgency];
    }

    // ---- choice

    private static final class Pick {
        final Optional<ReplicaEndpoint> slot;
        final double costUs;

        Pick(Optional<ReplicaEndpoint> s, double c) {
            slot = s;
            costUs = c;
        }
    }

    private boolean usable(ReplicaEndpoint s, ServiceSpec svc, Request e, long now) {
        var r = s.registration();
        if (r.ended()
                || r.draining()
                || r.unreachable()
                || r.drainDeadlineUs() != Long.MAX_VALUE
                || evacuated.contains(r.zone())
                || e.tried.contains(r.id())) {
            return false;
        }
        if (s.isUnloaded()) {
            return false;
        }
        if (e.deferred > 0 && !jobRoom(s, e.route, e.deferred - 1, now)) {
            return false;
        }
        if (s.reachability().isSuspected(now)
                || s.reachability().isSaturated(now)
                || s.reachability().peersSuspect(now)
                || s.health().isEjected(now)) {
            return false;
        }
        if (s.reachability().isProbing() && s.load().ownInFlight() > 0) {
            return false;
        }
        if (!s.isWarm(now) && svc.warmupRequestsPerS() > 0) {
            if (s.warmup().recentSends(now) + s.connectingAttempts() >= coldShare(s, svc, now)) {
                return false;
            }
        }
        var conns = Math.max(1, (int) (svc.maxConnections() * 0.95 / edges));
        if (s.connections().hasNoIdle() && s.connections().openConnections() >= conns) {
            return false;
        }
        var in = s.load().inFlight(now);
        return in < (svc.inferenceEngine() ? r.capacity() * 1.5 : r.capacity() * 2.5);
    }

    /**
     * An even share by the most edges ever, as long as that is one or more; past that, what the
     * homes lent.
     */
    private int coldShare(ReplicaEndpoint s, ServiceSpec svc, long now) {
        var all =
                svc.coldRequestsPerS(
                        settings.bounds().warmupOverage(), settings.bounds().warmupSlack());
        return edges <= all
                ? all / edges
                : replicaTable.warmupPermits().sendsPerSecond(s.id(), now);
    }

    private Pick best(
            List<ReplicaEndpoint> slots, ServiceSpec svc, Request e, String region, long now) {
        var best = Optional.<ReplicaEndpoint>empty();
        var cost = Double.MAX_VALUE;
        var bonus =
                svc.inferenceEngine() && e.sizes.size() > 1
                        ? topOf(slots, e, region)
                        : Optional.<ReplicaEndpoint>empty();
        for (var s : slots) {
            if (!s.region().equals(region) || !usable(s, svc, e, now) || crowded(s, svc, e, now)) {
                continue;
            }
            var c =
                    replicaTable.predictor().predictUs(s, svc, e.route, e, false, now)
                            + s.tieBreakCostUs()
                            + s.health().recoveryCostUs(now)
                            - (bonus.isPresent() && bonus.get() == s ? AFFINITY_US : 0);
            if (c < cost) {
                cost = c;
                best = Optional.of(s);
            }
        }
        return new Pick(best, cost);
    }

    /**
     * Reading a large prompt slows every stream of its replica, so kinds of large prompts stay off
     * replicas that are well filled: half of their places or 20, whichever is more, for small
     * batches are not slowed so soon. The measure is the kind's usual size: the largest of a kind
     * are not kept out before the others.
     */
    private boolean crowded(ReplicaEndpoint s, ServiceSpec svc, Request e, long now) {
        var most = Math.max(s.capacity() * CROWD, Math.min(s.capacity() - 2, CROWD_LEAST));
        return svc.inferenceEngine()
                && replicaTable.predictor().usualPromptTokens(e.route) >= LARGE_KIND
                && s.load().inFlight(now) > most;
    }

    static String sharedPart(Request e) {
        return e.parts.get(e.parts.size() - 2);
    }

    private static int weight(Request e, ReplicaEndpoint s) {
        return mix(sharedPart(e).hashCode() * 31 + s.id().hashCode());
    }

    /**
     * The replica of a region that the shared parts of a prompt belong to, the same at every edge.
     */
    private static Optional<ReplicaEndpoint> topOf(
            List<ReplicaEndpoint> slots, Request e, String region) {
        var best = Optional.<ReplicaEndpoint>empty();
        var top = Integer.MIN_VALUE;
        for (var s : slots) {
            if (s.region().equals(region)
                    && !s.isDraining()
                    && !s.isUnresponsive()
                    && !s.isUnloaded()) {
                var h = weight(e, s);
                if (h > top) {
                    top = h;
                    best = Optional.of(s);
                }
            }
        }
        return best;
    }

    /**
     * Whether this replica is where some edge last sent the request's large shared parts, so that
     * it need not read them.
     */
    boolean keeps(ReplicaEndpoint s, Request e) {
        return e.sizes.size() > 1
                && e.sharedTokens() >= LARGE
                && places.ownerOf(sharedPart(e)).filter(s.id()::equals).isPresent();
    }

    /**
     * The prefix owner may take a little longer than another replica; and what will be late anyway
     * is not read again elsewhere.
     */
    private static double roomOfPrefixOwner(Request e, long now) {
        var gone = now - e.arrivedUs;
        return gone > e.route.latencyTargetUs() * 0.5
                ? (e.deadlineUs - now) * 0.5
                : e.route.latencyTargetUs() * 0.85 - gone;
    }

    /**
     * Large shared parts belong to one replica of all allowed regions, so that each is read once:
     * the one where some edge last sent it, then those by hash, the same at every edge; the first
     * that is usable and has room is taken. Reports in force keep a share away as ever.
     */
    private Optional<ReplicaEndpoint> prefixOwner(
            List<ReplicaEndpoint> slots,
            ServiceSpec svc,
            Request e,
            double room,
            List<String> keptAway,
            long now) {
        var l = new ArrayList<ReplicaEndpoint>();
        for (var s : slots) {
            if (e.route.allows(s.region())
                    && !s.isDraining()
                    && !s.isUnresponsive()
                    && !s.isUnloaded()) {
                l.add(s);
            }
        }
        l.sort(Comparator.comparingInt((ReplicaEndpoint s) -> weight(e, s)).reversed());
        places.ownerOf(sharedPart(e))
                .flatMap(replicaTable::find)
                .filter(l::remove)
                .ifPresent(s -> l.add(0, s));
        var kept = !l.isEmpty() && keeps(l.get(0), e);
        var least =
                l.stream()
                        .filter(s -> usable(s, svc, e, now))
                        .mapToInt(s -> s.load().inFlight(now))
                        .min()
                        .orElse(0);
        for (var i = 0; i < Math.min(3, l.size()); i++) {
            var s = l.get(i);
            var in = s.load().inFlight(now);
            if (!usable(s, svc, e, now)
                    || crowded(s, svc, e, now)
                    || in > 16 + least * 2
                    || replicaTable.predictor().predictUs(s, svc, e.route, e, kept && i == 0, now)
                            > (kept && i == 0 ? roomOfPrefixOwner(e, now) : room)) {
                continue;
            }
            var away = !s.region().equals(settings.region());
            var k = s.region() + "/" + svc.model();
            if (away && e.sent == 0 && !keptAway.contains(k) && reports.selectNext(k, now)) {
                keptAway.add(k);
            }
            if (!away || !keptAway.contains(k)) {
                return Optional.of(s);
            }
        }
        return Optional.empty();
    }

    private static int mix(int x) {
        x ^= x >>> 16;
        x *= 0x7feb352d;
        x ^= x >>> 15;
        x *= 0x846ca68b;
        return x ^ x >>> 16;
    }

    private List<String> regions(List<ReplicaEndpoint> slots, Request e) {
        var l = new ArrayList<String>();
        for (var s : slots) {
            if (!l.contains(s.region()) && e.route.allows(s.region())) {
                l.add(s.region());
            }
        }
        Collections.rotate(l, turn++);
        if (l.remove(settings.region())) {
            l.add(0, settings.region());
        }
        return l;
    }

    /**
     * Own region first while it has room; then, past the reports in force, the allowed region with
     * the most room.
     */
    Optional<ReplicaEndpoint> choose(Request e, long now) {
        var svc = Optional.ofNullable(table.services().get(e.service)).orElse(ServiceSpec.UNKNOWN);
        var slots = replicaTable.ofService(e.service);
        var room = e.route.latencyTargetUs() * 0.7 - (now - e.arrivedUs);
        var fallback = new Pick(Optional.empty(), Double.MAX_VALUE);
        var keptAway = new ArrayList<String>();
        if (svc.inferenceEngine() && e.sharedTokens() >= LARGE) {
            var k = prefixOwner(slots, svc, e, room, keptAway, now);
            if (k.isPresent()) {
                return chosen(
                        new Pick(k, 0), keptAway, !k.get().region().equals(settings.region()));
            }
        }
        var home = regions(slots, e);
        for (var g : home) {
            var away = !g.equals(settings.region());
            var p = best(slots, svc, e, g, now);
            if (p.slot.isEmpty()) {
                continue;
            }
            var k = g + "/" + svc.model();
            if (away && keptAway.contains(k)) {
                continue;
            }
            if (away && e.sent == 0 && svc.inferenceEngine() && reports.selectNext(k, now)) {
                keptAway.add(k);
                continue;
            }
            if (p.costUs < room && (!away || home.contains(settings.region()))) {
                return chosen(p, keptAway, away);
            }
            if (p.costUs < fallback.costUs) {
                fallback = p;
            }
        }
        if (fallback.slot.isPresent()
                && fallback.costUs
                        < Math.min(e.route.latencyTargetUs() * 1.5, (e.deadlineUs - now) * 0.6)) {
            return chosen(
                    fallback, keptAway, !fallback.slot.get().region().equals(settings.region()));
        }
        if (e.keptAway.isEmpty()) {
            keptAway.forEach(k -> reports.state(k).countQueued());
        }
        e.keptAway = keptAway;
        return Optional.empty();
    }

    private Optional<ReplicaEndpoint> chosen(Pick p, List<String> keptAway, boolean away) {
        keptAway.forEach(k -> reports.state(k).countSpilled());
        if (away) {
            spilled++;
        }
        return p.slot;
    }
}
