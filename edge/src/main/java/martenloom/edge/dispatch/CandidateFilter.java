package martenloom.edge.dispatch;

import martenloom.common.settings.Settings;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.Route;
import martenloom.routing.route.ServiceSpec;

/**
 * Decides which replicas a request may go to at all: those that are registered and stay, in no
 * evacuated zone, not unloaded, responsive, healthy, and with a connection, a warm-up permit and
 * capacity to spare. Changes nothing. Runs on the reactor thread.
 */
final class CandidateFilter {
    /**
     * A replica counts as well filled from this part of its capacity on, or from so many attempts:
     * whichever is more, for small batches are not slowed so soon.
     */
    private static final double WELL_FILLED = 0.5;

    private static final int WELL_FILLED_ATTEMPTS = 20;

    /** Two positions are left to large prompts, however small the replica is. */
    private static final int POSITIONS_KEPT_FREE = 2;

    /** Kinds of prompts that are usually this large are kept off well filled replicas. */
    private static final int LARGE_KIND_TOKENS = 2000;

    /** The parts of its capacity up to which a replica is given requests. */
    private static final double ENGINE_OVERCOMMIT = 1.5;

    private static final double PLAIN_OVERCOMMIT = 2.5;

    /** The part of the connections of a service that edges share evenly. */
    private static final double SHARED_CONNECTIONS = 0.95;

    /** By a job's urgency: the part of a replica's capacity that may be filled. */
    private static final double[] JOB_CAPACITY = {0.4, 0.6, 0.8, 1.0};

    /** By a job's urgency: the part of the latency target that may be waiting for prefill. */
    private static final double[] JOB_LATENCY = {0.35, 0.6, 1.0, 4.0};

    /** From this urgency on a job may go to a replica that is warming up. */
    private static final int COLD_START_URGENCY = 3;

    /** Rates are tokens a millisecond. */
    private static final double US_PER_MS = 1000;

    private final Settings settings;
    private final ReplicaTable replicaTable;
    private final ClusterView cluster;

    CandidateFilter(Settings settings, ReplicaTable replicaTable, ClusterView cluster) {
        this.settings = settings;
        this.replicaTable = replicaTable;
        this.cluster = cluster;
    }

    /** Whether a request may be sent to a replica now. */
    boolean isUsable(ReplicaEndpoint replica, ServiceSpec service, Request request, long nowUs) {
        return stays(replica)
                && !request.triedReplicas().contains(replica.id())
                && !replica.isUnloaded()
                && (!request.isJob()
                        || hasJobCapacity(replica, request.route(), request.jobUrgency(), nowUs))
                && isResponsive(replica, nowUs)
                && hasWarmupPermit(replica, service, nowUs)
                && hasConnection(replica, service)
                && hasCapacity(replica, service, nowUs);
    }

    private boolean stays(ReplicaEndpoint replica) {
        return !replica.isDeregistered()
                && replica.isAvailable()
                && replica.registration().drainDeadlineUs() == Long.MAX_VALUE
                && !cluster.isEvacuated(replica.zone());
    }

    private static boolean isResponsive(ReplicaEndpoint replica, long nowUs) {
        var reachability = replica.reachability();
        return !reachability.isSuspected(nowUs)
                && !reachability.isSaturated(nowUs)
                && !reachability.peersSuspect(nowUs)
                && !replica.health().isEjected(nowUs)
                && !(reachability.isProbing() && replica.load().ownInFlight() > 0);
    }

    /** A replica that is warming up gets only so many requests in a second. */
    private boolean hasWarmupPermit(ReplicaEndpoint replica, ServiceSpec service, long nowUs) {
        return replica.isWarm(nowUs)
                || service.warmupRequestsPerS() <= 0
                || replica.warmup().recentSends(nowUs) + replica.connectingAttempts()
                        < warmupPermits(replica, service, nowUs);
    }

    /**
     * An even share by the most edges ever, as long as that is one or more; past that, what the
     * homes lent.
     */
    private int warmupPermits(ReplicaEndpoint replica, ServiceSpec service, long nowUs) {
        var permits =
                service.coldRequestsPerS(
                        settings.bounds().warmupOverage(), settings.bounds().warmupSlack());
        return cluster.edgeCount() <= permits
                ? permits / cluster.edgeCount()
                : replicaTable.warmupPermits().sendsPerSecond(replica.id(), nowUs);
    }

    private boolean hasConnection(ReplicaEndpoint replica, ServiceSpec service) {
        var share = (int) (service.maxConnections() * SHARED_CONNECTIONS / cluster.edgeCount());
        return !replica.connections().hasNoIdle()
                || replica.connections().openConnections() < Math.max(1, share);
    }

    private static boolean hasCapacity(ReplicaEndpoint replica, ServiceSpec service, long nowUs) {
        var overcommit = service.inferenceEngine() ? ENGINE_OVERCOMMIT : PLAIN_OVERCOMMIT;
        return replica.load().inFlight(nowUs) < replica.capacity() * overcommit;
    }

    /**
     * A large prefill slows every stream of its replica, so kinds of large prompts stay off
     * replicas that are well filled. The measure is the kind's usual size: the largest of a kind
     * are not kept out before the others.
     */
    boolean isTooFullForKind(
            ReplicaEndpoint replica, ServiceSpec service, Request request, long nowUs) {
        var capacity = replica.capacity();
        var wellFilled =
                Math.max(
                        capacity * WELL_FILLED,
                        Math.min(capacity - POSITIONS_KEPT_FREE, WELL_FILLED_ATTEMPTS));
        return service.inferenceEngine()
                && replicaTable.predictor().usualPromptTokens(request.route()) >= LARGE_KIND_TOKENS
                && replica.load().inFlight(nowUs) > wellFilled;
    }

    // ---- deferred jobs

    /** Whether some replica of a route has capacity to spare for a job of this urgency. */
    boolean hasJobCapacity(String routeName, int urgency, long nowUs) {
        for (var route : cluster.table().routes()) {
            if (route.name().equals(routeName)) {
                return hasJobCapacity(route, urgency, nowUs);
            }
        }
        return false;
    }

    private boolean hasJobCapacity(Route route, int urgency, long nowUs) {
        for (var share : route.trafficSplit()) {
            for (var replica : replicaTable.ofService(share.service())) {
                if (hasJobCapacity(replica, route, urgency, nowUs)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether a replica has capacity for a job past what interactive requests need. */
    private boolean hasJobCapacity(ReplicaEndpoint replica, Route route, int urgency, long nowUs) {
        return route.allows(replica.region())
                && replica.isAvailable()
                && !replica.isDeregistered()
                && !replica.reachability().isSuspected(nowUs)
                && !cluster.isEvacuated(replica.zone())
                && (replica.isWarm(nowUs) || urgency >= COLD_START_URGENCY)
                && replica.load().inFlight(nowUs)
                        < Math.max(1, replica.capacity() * JOB_CAPACITY[urgency])
                && prefillAheadUs(replica, nowUs) < route.latencyTargetUs() * JOB_LATENCY[urgency];
    }

    private static double prefillAheadUs(ReplicaEndpoint replica, long nowUs) {
        return replica.load().pendingPrefillTokens(nowUs)
                / replica.latency().prefillTokensPerMs()
                * US_PER_MS;
    }

    // ---- waiting

    /**
     * Whether everything that could serve this request is unloaded, so that it may wait for a
     * replica to be loaded again.
     */
    boolean allUnloaded(Request request) {
        if (!cluster.hasPlacements()) {
            return false;
        }
        var anyUnloaded = false;
        for (var replica : replicaTable.ofService(request.service())) {
            if (request.route().allows(replica.region())
                    && replica.isAvailable()
                    && !cluster.isEvacuated(replica.zone())) {
                if (!replica.isUnloaded()) {
                    return false;
                }
                anyUnloaded = true;
            }
        }
        return anyUnloaded;
    }
}
