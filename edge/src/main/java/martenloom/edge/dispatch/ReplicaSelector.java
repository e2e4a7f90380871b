package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import martenloom.common.settings.Settings;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.ServiceSpec;

/**
 * Picks the replica that a request goes to. Large shared segments of prompts go to the replica that
 * owns them; everything else goes to the own region while it has room, and then to the allowed
 * region with the most room. Which replicas are candidates, what they cost, who owns a prefix and
 * what overload reports withhold are the matter of one class each. Nothing is sent from here. Runs
 * on the reactor thread.
 */
final class ReplicaSelector {
    /** The part of the latency target within which a replica must answer to be taken at once. */
    private static final double ROOM = 0.7;

    /**
     * The prefix owner may take a little longer than another replica; and what will be late anyway
     * is not prefilled again elsewhere.
     */
    private static final double OWNER_ROOM = 0.85;

    private static final double OWNER_LATE_FROM = 0.5;
    private static final double OWNER_LATE_ROOM = 0.5;

    /** How many owners of a prefix are considered, one after another. */
    private static final int MAX_OWNERS = 3;

    /** An owner may have so many attempts in flight, and twice what the emptiest has. */
    private static final int OWNER_IN_FLIGHT = 16;

    private static final int OWNER_IN_FLIGHT_FACTOR = 2;

    /** A replica without room is taken all the same within these parts of target and time left. */
    private static final double FALLBACK_LATENCY = 1.5;

    private static final double FALLBACK_TIME_LEFT = 0.6;
    private static final int FIRST_TURN_BELOW = 1 << 20;

    /** A replica and what it costs. */
    private record Candidate(Optional<ReplicaEndpoint> replica, double costUs) {
        private static final Candidate NONE = new Candidate(Optional.empty(), Double.MAX_VALUE);
    }

    private final String ownRegion;
    private final ReplicaTable replicaTable;
    private final ClusterView cluster;
    private final CandidateFilter filter;
    private final CostPredictor predictor;
    private final PrefixCacheOwnership prefixCache;
    private final OverloadReduction overload;

    /** Rotates the order of the other regions. */
    private int turn = new Random().nextInt(FIRST_TURN_BELOW);

    ReplicaSelector(
            Settings settings,
            ReplicaTable replicaTable,
            ClusterView cluster,
            CandidateFilter filter,
            PrefixCacheOwnership prefixCache,
            OverloadReduction overload) {
        ownRegion = settings.region();
        this.replicaTable = replicaTable;
        this.cluster = cluster;
        this.filter = filter;
        this.prefixCache = prefixCache;
        this.overload = overload;
        predictor = new CostPredictor(replicaTable);
    }

    /** The replica for the next attempt of a request, if there is one that can serve it in time. */
    Optional<ReplicaEndpoint> select(Request request, long nowUs) {
        var service = cluster.service(request.service());
        var replicas = replicaTable.ofService(request.service());
        var withheldBy = new ArrayList<String>();
        var selected = Optional.<ReplicaEndpoint>empty();
        if (service.inferenceEngine() && request.prompt().hasLargeShared()) {
            selected = selectPrefixOwner(replicas, service, request, withheldBy, nowUs);
        }
        if (selected.isEmpty()) {
            selected = selectByRegion(replicas, service, request, withheldBy, nowUs);
        }
        if (selected.isPresent()) {
            overload.onChosen(withheldBy, isRemote(selected.get().region()));
        } else {
            overload.onNothingChosen(request, withheldBy);
        }
        return selected;
    }

    private boolean isRemote(String region) {
        return !region.equals(ownRegion);
    }

    /** The time within which a replica must answer to have room for a request. */
    private static double roomUs(Request request, long nowUs) {
        return request.route().latencyTargetUs() * ROOM - (nowUs - request.arrivedUs());
    }

    // ---- by prefix cache

    private Optional<ReplicaEndpoint> selectPrefixOwner(
            List<ReplicaEndpoint> replicas,
            ServiceSpec service,
            Request request,
            List<String> withheldBy,
            long nowUs) {
        var owners = prefixCache.ownersInOrder(replicas, request);
        var firstHasCache = !owners.isEmpty() && prefixCache.isCached(owners.get(0), request);
        var maxInFlight = maxInFlightOfOwner(owners, service, request, nowUs);
        for (var i = 0; i < Math.min(MAX_OWNERS, owners.size()); i++) {
            var owner = owners.get(i);
            if (owner.load().inFlight(nowUs) <= maxInFlight
                    && ownerHasRoom(owner, service, request, firstHasCache && i == 0, nowUs)
                    && !(isRemote(owner.region())
                            && overload.withholds(
                                    request, owner.region(), service.model(), withheldBy, nowUs))) {
                return Optional.of(owner);
            }
        }
        return Optional.empty();
    }

    private int maxInFlightOfOwner(
            List<ReplicaEndpoint> owners, ServiceSpec service, Request request, long nowUs) {
        var least = Integer.MAX_VALUE;
        for (var owner : owners) {
            if (filter.isUsable(owner, service, request, nowUs)) {
                least = Math.min(least, owner.load().inFlight(nowUs));
            }
        }
        return least == Integer.MAX_VALUE
                ? OWNER_IN_FLIGHT
                : OWNER_IN_FLIGHT + least * OWNER_IN_FLIGHT_FACTOR;
    }

    private boolean ownerHasRoom(
            ReplicaEndpoint owner,
            ServiceSpec service,
            Request request,
            boolean cached,
            long nowUs) {
        return filter.isUsable(owner, service, request, nowUs)
                && !filter.isTooFullForKind(owner, service, request, nowUs)
                && predictor.timeUs(owner, service, request, cached, nowUs)
                        <= (cached ? cachedRoomUs(request, nowUs) : roomUs(request, nowUs));
    }

    private static double cachedRoomUs(Request request, long nowUs) {
        var ageUs = nowUs - request.arrivedUs();
        var aimUs = request.route().latencyTargetUs();
        return ageUs > aimUs * OWNER_LATE_FROM
                ? (request.deadlineUs() - nowUs) * OWNER_LATE_ROOM
                : aimUs * OWNER_ROOM - ageUs;
    }

    // ---- by region

    private Optional<ReplicaEndpoint> selectByRegion(
            List<ReplicaEndpoint> replicas,
            ServiceSpec service,
            Request request,
            List<String> withheldBy,
            long nowUs) {
        var regions = regionsInOrder(replicas, request);
        var servedHere = regions.contains(ownRegion);
        var roomUs = roomUs(request, nowUs);
        var fallback = Candidate.NONE;
        for (var region : regions) {
            var remote = isRemote(region);
            var cheapest = cheapest(replicas, service, request, region, nowUs);
            if (cheapest.replica.isEmpty()
                    || remote && isWithheld(request, region, service, withheldBy, nowUs)) {
                continue;
            }
            if (cheapest.costUs < roomUs && (!remote || servedHere)) {
                return cheapest.replica;
            }
            if (cheapest.costUs < fallback.costUs) {
                fallback = cheapest;
            }
        }
        return fallback.costUs < maxFallbackUs(request, nowUs)
                ? fallback.replica
                : Optional.empty();
    }

    private boolean isWithheld(
            Request request,
            String region,
            ServiceSpec service,
            List<String> withheldBy,
            long nowUs) {
        return service.inferenceEngine()
                && overload.withholds(request, region, service.model(), withheldBy, nowUs);
    }

    private static double maxFallbackUs(Request request, long nowUs) {
        return Math.min(
                request.route().latencyTargetUs() * FALLBACK_LATENCY,
                (request.deadlineUs() - nowUs) * FALLBACK_TIME_LEFT);
    }

    /** The allowed regions: the own one first, the others in turns. */
    private List<String> regionsInOrder(List<ReplicaEndpoint> replicas, Request request) {
        var regions = new ArrayList<String>();
        for (var replica : replicas) {
            if (!regions.contains(replica.region()) && request.route().allows(replica.region())) {
                regions.add(replica.region());
            }
        }
        Collections.rotate(regions, turn++);
        if (regions.remove(ownRegion)) {
            regions.add(0, ownRegion);
        }
        return regions;
    }

    private Candidate cheapest(
            List<ReplicaEndpoint> replicas,
            ServiceSpec service,
            Request request,
            String region,
            long nowUs) {
        var owner =
                service.inferenceEngine() && request.prompt().hasShared()
                        ? prefixCache.ownerInRegion(replicas, request, region)
                        : Optional.<ReplicaEndpoint>empty();
        var cheapest = Optional.<ReplicaEndpoint>empty();
        var leastUs = Double.MAX_VALUE;
        for (var replica : replicas) {
            if (!replica.region().equals(region)
                    || !filter.isUsable(replica, service, request, nowUs)
                    || filter.isTooFullForKind(replica, service, request, nowUs)) {
                continue;
            }
            var ownsPrefix = owner.isPresent() && owner.get() == replica;
            var costUs = predictor.costUs(replica, service, request, ownsPrefix, nowUs);
            if (costUs < leastUs) {
                leastUs = costUs;
                cheapest = Optional.of(replica);
            }
        }
        return new Candidate(cheapest, leastUs);
    }
}
