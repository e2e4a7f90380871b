package martenloom.edge.dispatch;

import java.util.HashMap;
import java.util.HashSet;
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
 * unloaded and which warm up again after an evacuation. Runs on the reactor thread.
 */
final class ClusterView {
    /** What a replica's warm-up takes longer after an evacuation than its service says. */
    private static final long EVACUATION_WARMUP_MARGIN_US = 1_500_000;

    private final ReplicaTable replicaTable;
    private RouteTable table = RouteTable.EMPTY;
    private Set<String> evacuatedZones = Set.of();

    /** By region and model, as in {@link #regionAndModel}. */
    private Map<String, ReplicaPlacement> placements = Map.of();

    /** When zones were taken back, as far as this edge has seen it or was told. */
    private final Map<String, Long> returnedUs = new HashMap<>();

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
        replicaTable.all().forEach(this::onReplica);
    }

    void setPlacements(Map<String, ReplicaPlacement> newPlacements) {
        placements = newPlacements;
        replicaTable.all().forEach(this::markUnloaded);
    }

    /** Marks a replica that is new, or of which something has changed. */
    void onReplica(ReplicaEndpoint replica) {
        markUnloaded(replica);
        warmUpAfterReturn(replica);
    }

    /** Marks whether a replica is unloaded, by the placement of its model in its region. */
    private void markUnloaded(ReplicaEndpoint replica) {
        var placement = placement(replica);
        replica.setUnloaded(placement.isPresent() && placement.get().isUnloaded(replica.id()));
    }

    private Optional<ReplicaPlacement> placement(ReplicaEndpoint replica) {
        var service = table.services().get(replica.service());
        return service == null || !service.inferenceEngine()
                ? Optional.empty()
                : Optional.ofNullable(
                        placements.get(regionAndModel(replica.region(), service.model())));
    }

    /** Replicas of a zone that is no longer evacuated warm up again. */
    void setEvacuatedZones(Set<String> zones, long nowUs) {
        var returned = new HashSet<>(evacuatedZones);
        returned.removeAll(zones);
        evacuatedZones = Set.copyOf(zones);
        returned.forEach(zone -> returnedUs.put(zone, nowUs));
        replicaTable.all().forEach(this::warmUpAfterReturn);
    }

    /** Takes zones that were taken back before this edge could see it, and how long ago. */
    void addReturnedZones(Map<String, Long> returnedAgoUs, long nowUs) {
        returnedAgoUs.forEach((zone, agoUs) -> returnedUs.putIfAbsent(zone, nowUs - agoUs));
        replicaTable.all().forEach(this::warmUpAfterReturn);
    }

    private void warmUpAfterReturn(ReplicaEndpoint replica) {
        var returned = returnedUs.get(replica.zone());
        var service = table.services().get(replica.service());
        if (returned != null && service != null && service.warmupUs() > 0) {
            replica.warmup().extend(returned + service.warmupUs() + EVACUATION_WARMUP_MARGIN_US);
        }
    }

    void setEdgeCount(int mostEver) {
        edgeCount = Math.max(1, mostEver);
    }
}
