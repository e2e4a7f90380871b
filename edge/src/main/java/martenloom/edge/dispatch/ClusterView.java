package martenloom.edge.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/**
 * What this edge knows of the cluster from the core: the route table in force, the evacuated zones,
 * the placement of replicas and the number of edges. Marks in the replica table which replicas are
 * unloaded and which start cold after an evacuation. Runs on the reactor thread.
 */
final class ClusterView {
    /** What a replica's warm-up takes longer after an evacuation than its service says. */
    private static final long EVACUATION_WARMUP_MARGIN_US = 1_500_000;

    private final ReplicaTable replicaTable;
    private RouteTable table = RouteTable.EMPTY;
    private Set<String> evacuatedZones = Set.of();

    /** By region and model, as in {@link #regionAndModel}. */
    private Map<String, ReplicaPlacement> placements = Map.of();

    private int edgeCount = 1;

    ClusterView(ReplicaTable replicaTable) {
        this.replicaTable = replicaTable;
    }

    /** The key of what is kept for a model in a region. */
    static String regionAndModel(String region, String model) {
        return region + "/" + model;
    }

    // ---- what is known

    RouteTable table() {
        return table;
    }

    /** A service as the table describes it, or one without an engine and without limits. */
    ServiceSpec service(String name) {
        return Optional.ofNullable(table.services().get(name)).orElse(ServiceSpec.UNKNOWN);
    }

    Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    boolean isEvacuated(String zone) {
        return evacuatedZones.contains(zone);
    }

    boolean hasPlacements() {
        return !placements.isEmpty();
    }

    /** The most edges that there ever were. */
    int edgeCount() {
        return edgeCount;
    }

    // ---- what changes

    void setTable(RouteTable newTable) {
        table = newTable;
        replicaTable.all().forEach(this::markUnloaded);
    }

    void setPlacements(Map<String, ReplicaPlacement> newPlacements) {
        placements = newPlacements;
        replicaTable.all().forEach(this::markUnloaded);
    }

    /** Marks whether a replica is unloaded, by the placement of its model in its region. */
    void markUnloaded(ReplicaEndpoint replica) {
        var placement = placement(replica);
        replica.setUnloaded(
                placement.isPresent()
                        && (placement.get().pinned()
                                || placement.get().resting().contains(replica.id())));
    }

    private Optional<ReplicaPlacement> placement(ReplicaEndpoint replica) {
        var service = table.services().get(replica.service());
        return service == null || !service.inferenceEngine()
                ? Optional.empty()
                : Optional.ofNullable(
                        placements.get(regionAndModel(replica.region(), service.model())));
    }

    /** Replicas of a zone that is no longer evacuated start cold. */
    void setEvacuatedZones(Set<String> zones, long nowUs) {
        for (var replica : replicaTable.all()) {
            var zone = replica.zone();
            if (evacuatedZones.contains(zone) && !zones.contains(zone)) {
                var service = table.services().get(replica.service());
                var warmupUs = service == null ? 0 : service.warmupUs();
                replica.warmup()
                        .restart(
                                warmupUs == 0 ? 0 : nowUs + warmupUs + EVACUATION_WARMUP_MARGIN_US);
            }
        }
        evacuatedZones = Set.copyOf(zones);
    }

    void setEdgeCount(int mostEver) {
        edgeCount = Math.max(1, mostEver);
    }
}
