package martenloom.core.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.SetPlacement;
import martenloom.core.state.Command.SetReplicaCount;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.placement.PlacementFinding;
import martenloom.routing.route.RouteTable;

/**
 * Which replicas of which deployment are to serve, by order of the scalers and of the operator. A
 * deployment is a model in a region, named {@code REGION/MODEL}. Immutable.
 *
 * <p>Invariant: no order is taken that would leave a model without a way to survive the loss of one
 * region where it had one, given what ran at the moment of the write.
 *
 * @param targets the targets in the order of their deployments; what isn't named runs as registered
 * @param placementVersions the version of the operator's orders for each deployment
 * @param scalerOrders the newest order of the scaler for each deployment, see {@link
 *     #orderNumber(SetReplicaCount)}
 */
public record ScalingState(
        Map<String, ReplicaTarget> targets,
        OrderVersions placementVersions,
        OrderVersions scalerOrders) {
    /** Everything runs as it is registered. */
    static final ScalingState NONE =
            new ScalingState(Map.of(), OrderVersions.NONE, OrderVersions.NONE);

    private static final String SCALER_ROLE = "scale/";
    private static final String ALL = "all";
    private static final String ORDER_FORMAT = "all|\\d{1,6}(\\n[^\\n]+)*";
    private static final int SEQUENCE_BITS = 32;

    /** What a placement check needs: what runs, and the routing text that says what serves what. */
    record Evidence(String survey, String routingText) {}

    /**
     * Takes a scaler's order, under the lease of its role. Its number under the lease fences it
     * too: an order that was overtaken by a later one of the same scaler is refused.
     */
    CommandResult<ScalingState> decide(
            SetReplicaCount order, LeaseTable leases, Evidence evidence) {
        var deployment = order.deployment();
        var regionEnd = deployment.indexOf('/');
        var role = SCALER_ROLE + deployment.substring(0, Math.max(0, regionEnd));
        if (regionEnd < 1 || !leases.isInForce(role, order.fencingToken())) {
            return CommandResult.conflict(
                    "fence: grant "
                            + order.fencingToken()
                            + " of scale/"
                            + deployment
                            + " is not in force");
        }
        if (!order.order().matches(ORDER_FORMAT)) {
            return CommandResult.refused(
                    ResultCode.INVALID,
                    "order: a count, or all, and then one replica a line are expected");
        }
        var number = orderNumber(order);
        if (number < scalerOrders.of(deployment)) {
            return CommandResult.conflict(
                    "fence: order "
                            + order.sequence()
                            + " of "
                            + deployment
                            + " was overtaken by a later one");
        }
        if (isPinned(deployment)) {
            return CommandResult.conflict("pinned: " + deployment + " is unloaded by the operator");
        }
        var noted =
                new ScalingState(targets, placementVersions, scalerOrders.with(deployment, number));
        return noted.setTarget(deployment, target(order), evidence);
    }

    /** Orders the orders for a deployment: by the lease they were given under, then by sequence. */
    private static long orderNumber(SetReplicaCount order) {
        return (order.fencingToken() << SEQUENCE_BITS) + order.sequence();
    }

    private static Optional<ReplicaTarget> target(SetReplicaCount order) {
        if (order.order().equals(ALL)) {
            return Optional.empty();
        }
        var lines = List.of(order.order().split("\n"));
        var resting = new TreeSet<>(lines.subList(1, lines.size()));
        return Optional.of(
                new ReplicaTarget(
                        Integer.parseInt(lines.get(0)), false, order.fencingToken(), resting));
    }

    private boolean isPinned(String deployment) {
        var target = targets.get(deployment);
        return target != null && target.pinned();
    }

    /**
     * Takes the operator's order: a deployment rests, or runs again as the scaler says. One that
     * finds its wish fulfilled counts as an evacuation's does.
     */
    CommandResult<ScalingState> decide(
            SetPlacement order, long acceptedVersion, Evidence evidence) {
        var deployment = order.deployment();
        var unload = order.placing() == Placing.UNLOAD;
        var fulfilled = isPinned(deployment) == unload;
        if (!fulfilled && acceptedVersion != placementVersions.of(deployment)) {
            return CommandResult.stale(deployment);
        }
        var noted = new ScalingState(targets, placementVersions.next(deployment), scalerOrders);
        if (fulfilled) {
            return CommandResult.changed(noted, "");
        }
        var wanted = unload ? Optional.of(ReplicaTarget.UNLOADED) : Optional.<ReplicaTarget>empty();
        return noted.setTarget(deployment, wanted, evidence);
    }

    private CommandResult<ScalingState> setTarget(
            String deployment, Optional<ReplicaTarget> wanted, Evidence evidence) {
        if (Optional.ofNullable(targets.get(deployment)).equals(wanted)) {
            return CommandResult.changed(this, "");
        }
        var next = withTarget(deployment, wanted);
        var table = RoutingLanguage.compile(evidence.routingText());
        var findings = newlyExposed(next, Placement.decode(evidence.survey()), table);
        return findings.isEmpty()
                ? CommandResult.changed(next, "")
                : CommandResult.conflict(
                        String.join("; ", findings.stream().map(PlacementFinding::text).toList()));
    }

    /** The same with another target for one deployment, or with none; nothing is checked. */
    public ScalingState withTarget(String deployment, Optional<ReplicaTarget> target) {
        var next = new TreeMap<>(targets);
        target.ifPresentOrElse(
                wanted -> next.put(deployment, wanted), () -> next.remove(deployment));
        return new ScalingState(next, placementVersions, scalerOrders);
    }

    /** What the loss of one region would strand under the next state and wouldn't under this. */
    public List<PlacementFinding> newlyExposed(
            ScalingState next, Placement registered, RouteTable table) {
        return Placement.regressions(
                serving(registered, table), next.serving(registered, table), table);
    }

    /** What runs when those that rest by these targets are taken away. */
    public Placement serving(Placement registered, RouteTable table) {
        var serving = registered;
        for (var entry : targets.entrySet()) {
            var regionEnd = entry.getKey().indexOf('/');
            var model = entry.getKey().substring(regionEnd + 1);
            serving =
                    serving.without(
                            table.services().values().stream()
                                    .filter(
                                            service ->
                                                    service.inferenceEngine()
                                                            && service.model().equals(model))
                                    .toList(),
                            entry.getKey().substring(0, regionEnd),
                            entry.getValue().pinned(),
                            entry.getValue().resting());
        }
        return serving;
    }

    void writeTargets(RecordWriter out) {
        out.list(
                targets.entrySet(),
                (writer, entry) -> entry.getValue().write(writer.text(entry.getKey())));
    }

    static Map<String, ReplicaTarget> readTargets(RecordReader in) {
        var targets = new TreeMap<String, ReplicaTarget>();
        in.list(reader -> targets.put(reader.text(), ReplicaTarget.read(reader)));
        return targets;
    }
}
