package martenloom.edge.dispatch;

import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.ServiceSpec;

/**
 * Predicts what a request costs at a replica, in microseconds until its first token or its whole
 * response, with what makes one replica preferable to another. Changes nothing. Runs on the reactor
 * thread.
 */
final class CostPredictor {
    /** What a replica is preferred by to which the shared segments of a prompt belong. */
    private static final double PREFIX_AFFINITY_US = 15_000;

    private final ReplicaTable replicaTable;

    CostPredictor(ReplicaTable replicaTable) {
        this.replicaTable = replicaTable;
    }

    /** The predicted time from now, without preferences. */
    double timeUs(
            ReplicaEndpoint replica,
            ServiceSpec service,
            Request request,
            boolean assumeSharedCached,
            long nowUs) {
        return replicaTable
                .predictor()
                .predictUs(
                        replica,
                        service,
                        request.route(),
                        request.prompt(),
                        assumeSharedCached,
                        nowUs);
    }

    /**
     * The time and what stands for the distance of the replica, its return from an ejection and the
     * prefix that it owns.
     */
    double costUs(
            ReplicaEndpoint replica,
            ServiceSpec service,
            Request request,
            boolean ownsPrefix,
            long nowUs) {
        return timeUs(replica, service, request, false, nowUs)
                + replica.tieBreakCostUs()
                + replica.health().recoveryCostUs(nowUs)
                - (ownsPrefix ? PREFIX_AFFINITY_US : 0);
    }
}
