package martenloom.edge.overload;

import martenloom.common.settings.Settings;
import martenloom.edge.replica.LatencyPredictor;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;

/**
 * Estimates the pressure on a region's replicas of a model: the predicted time to a first token of
 * a new prompt of usual size, against the latency target. Runs on the reactor thread.
 */
final class PressureEstimator {
    private final Settings settings;
    private final RoutingView routing;
    private final ReplicaTable replicaTable;

    PressureEstimator(Settings settings, RoutingView routing, ReplicaTable replicaTable) {
        this.settings = settings;
        this.routing = routing;
        this.replicaTable = replicaTable;
    }

    /** The pressure on this region's replicas of a model; 1 is just in time. */
    double pressure(String model, long now) {
        var targetUs = targetUs(model);
        var sumUs = 0.0;
        var known = 0;
        var available = 0;
        for (var replica : replicaTable.all()) {
            if (!replica.region().equals(settings.region())
                    || !routing.servesModel(replica, model)) {
                continue;
            }
            known++;
            if (!replica.isUnloaded() && routing.isInService(replica)) {
                sumUs +=
                        replica.reachability().isSuspected(now)
                                ? targetUs
                                : LatencyPredictor.predictNewPromptUs(replica, now);
                available++;
            }
        }
        if (known == 0) {
            return 0;
        }
        return available == 0 ? OverloadReporter.MAX_PRESSURE : sumUs / available / targetUs;
    }

    /** The strictest latency target of the routes of a model, in microseconds. */
    private long targetUs(String model) {
        var targetUs = Long.MAX_VALUE;
        var table = routing.table();
        for (var route : table.routes()) {
            var service =
                    route.trafficSplit().isEmpty()
                            ? null
                            : table.services().get(route.trafficSplit().get(0).service());
            if (service != null
                    && service.inferenceEngine()
                    && service.model().equals(model)
                    && route.latencyTargetUs() > 0) {
                targetUs = Math.min(targetUs, route.latencyTargetUs());
            }
        }
        return targetUs;
    }
}
