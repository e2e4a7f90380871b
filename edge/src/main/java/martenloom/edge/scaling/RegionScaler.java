package martenloom.edge.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.load.LoadSummary;
import martenloom.common.log.RingLog;
import martenloom.edge.home.CoreReply;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;

/**
 * The scaler of a region, at the edge that holds its role: observes the requests in flight at each
 * model, decides which replicas are unloaded, and orders that under the fencing token of the lease.
 * Without the role it keeps no state and orders nothing; a new holder begins with the placement in
 * force, or with what is registered. As long as no count was ever ordered, all that are registered
 * are desired. Runs on the reactor thread.
 */
public final class RegionScaler {
    private static final long NO_LEASE = 0;

    private final RoutingView routing;
    private final ReplicaTable replicaTable;
    private final String region;
    private final ScalingSettings defaults;
    private final ScalingOrders orders;

    /** By region and model. */
    private final Map<String, ModelScaler> scalers = new TreeMap<>();

    /** By region and model. */
    private Map<String, ReplicaPlacement> placements = Map.of();

    private long fencingToken = NO_LEASE;

    /**
     * Creates a scaler that does not hold the role.
     *
     * @param defaults the settings of models for which the configuration has none
     */
    public RegionScaler(
            RoutingView routing,
            ReplicaTable replicaTable,
            String region,
            ScalingSettings defaults,
            ScalingOrders orders) {
        this.routing = routing;
        this.replicaTable = replicaTable;
        this.region = region;
        this.defaults = defaults;
        this.orders = orders;
    }

    /** Takes the placements in force, by region and model. */
    public void onPlacements(Map<String, ReplicaPlacement> newer) {
        scalers.forEach(
                (key, scaler) -> {
                    if (!Optional.ofNullable(newer.get(key)).equals(placement(key))) {
                        scaler.onPlacementChanged();
                    }
                });
        placements = Map.copyOf(newer);
    }

    private Optional<ReplicaPlacement> placement(String key) {
        return Optional.ofNullable(placements.get(key));
    }

    /**
     * Observes and orders.
     *
     * @param token the fencing token of the scaling role, while it is held
     * @param total the load of all edges
     * @param reliable whether the total is of now and of most edges
     */
    public void tick(Optional<Long> token, LoadSummary total, boolean reliable, long now) {
        var current = token.orElse(NO_LEASE);
        if (current != fencingToken) {
            fencingToken = current;
            scalers.clear();
        }
        if (fencingToken == NO_LEASE || routing.table().revision() == 0) {
            return;
        }
        for (var model : engineModels()) {
            scale(model, total, reliable, now);
        }
    }

    private Set<String> engineModels() {
        var models = new TreeSet<String>();
        routing.table().services().values().stream()
                .filter(service -> service.inferenceEngine())
                .forEach(service -> models.add(service.model()));
        return models;
    }

    private ScalingSettings settings(String model) {
        return routing.table().scaling().getOrDefault(model, defaults);
    }

    /** The replicas of a model in this region that take requests, or would if they were loaded. */
    private List<ReplicaEndpoint> registered(String model) {
        var registered = new ArrayList<ReplicaEndpoint>();
        for (var replica : replicaTable.all()) {
            if (replica.region().equals(region)
                    && routing.servesModel(replica, model)
                    && routing.isInService(replica)) {
                registered.add(replica);
            }
        }
        return registered;
    }

    private void scale(String model, LoadSummary total, boolean reliable, long now) {
        var key = region + "/" + model;
        var placement = placement(key);
        var registered = registered(model);
        if (registered.isEmpty() || placement.isPresent() && placement.get().pinned()) {
            scalers.remove(key);
            return;
        }
        var settings = settings(model);
        var scaler =
                scalers.computeIfAbsent(
                        key,
                        absent -> new ModelScaler(settings, inForce(placement, registered), now));
        scaler.adopt(settings);
        if (placement.isEmpty() && !scaler.isBusy(now)) {
            scaler.follow(registered.size());
        }
        scaler.observe(total.inFlightByModel().getOrDefault(key, 0), reliable, registered, now);
        orderIfDifferent(key, scaler, registered, now);
    }

    /** The count in force: the one that was ordered last, else all. */
    private static int inForce(
            Optional<ReplicaPlacement> placement, List<ReplicaEndpoint> registered) {
        return placement.map(ReplicaPlacement::desired).orElse(registered.size());
    }

    /** Orders what is desired when the placement in force differs from it. */
    private void orderIfDifferent(
            String key, ModelScaler scaler, List<ReplicaEndpoint> registered, long now) {
        var placement = placement(key);
        var desired = scaler.desired();
        var all = desired >= registered.size();
        if (scaler.isBusy(now) || placement.isEmpty() && all) {
            return;
        }
        var unloaded = selectUnloaded(registered, desired, key);
        if (!all
                && placement.isPresent()
                && placement.get().desired() == desired
                && placement.get().resting().equals(unloaded)) {
            return;
        }
        scaler.onOrdered();
        var inForce = inForce(placement, registered);
        var order = new ScalingOrder(key, fencingToken, all ? ScalingOrder.ALL : desired, unloaded);
        orders.send(
                order,
                reply -> {
                    scaler.onReply(reply, inForce, now);
                    log(reply, key, desired, unloaded);
                });
    }

    private static void log(CoreReply reply, String key, int desired, Set<String> unloaded) {
        if (reply.isConflict()) {
            RingLog.info("scaling of " + key + " to " + desired + " is refused: " + reply.text());
        } else if (reply.isAccepted()) {
            RingLog.debug("scaling of " + key + ": " + desired + " desired, resting " + unloaded);
        }
    }

    /**
     * The replicas to unload: those that are unloaded stay so; others join by the smallest prefix
     * cache and load, or those with the largest come back.
     */
    private Set<String> selectUnloaded(List<ReplicaEndpoint> registered, int desired, String key) {
        var minimum = isBoundToRegion(key) ? 1 : 0;
        var count = Math.max(0, registered.size() - Math.max(minimum, desired));
        var byValue = new ArrayList<>(registered);
        byValue.sort(
                Comparator.comparing((ReplicaEndpoint replica) -> !replica.isUnloaded())
                        .thenComparingLong(replica -> replica.prefixCache().totalTokens())
                        .thenComparingInt(replica -> replica.load().ownInFlight())
                        .thenComparing(ReplicaEndpoint::id));
        var unloaded = new TreeSet<String>();
        byValue.stream().limit(count).forEach(replica -> unloaded.add(replica.id()));
        return unloaded;
    }

    /** Whether some route of a model may be served in this region only. */
    private boolean isBoundToRegion(String key) {
        var table = routing.table();
        for (var route : table.routes()) {
            if (route.allowedRegions().size() != 1 || !route.allows(region)) {
                continue;
            }
            for (var share : route.trafficSplit()) {
                var service = table.services().get(share.service());
                if (service != null
                        && service.inferenceEngine()
                        && key.equals(region + "/" + service.model())) {
                    return true;
                }
            }
        }
        return false;
    }

    /** For the shell: one line for each model of which there is a placement or a scaler. */
    public String text(long now) {
        var lines = new StringBuilder();
        placements.forEach(
                (key, placement) -> {
                    if (!scalers.containsKey(key)) {
                        lines.append(text(key, placement));
                    }
                });
        scalers.forEach(
                (key, scaler) -> {
                    var registered = registered(key.substring(region.length() + 1));
                    lines.append(scaler.text(key, registered, fencingToken, now));
                });
        return lines.toString();
    }

    private static String text(String key, ReplicaPlacement placement) {
        return String.format(
                "%s desired %d%s resting %d\n",
                key,
                placement.desired(),
                placement.pinned() ? " unloaded by the operator" : "",
                placement.resting().size());
    }
}
