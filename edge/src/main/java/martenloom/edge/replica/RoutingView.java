package martenloom.edge.replica;

import java.util.Set;
import martenloom.routing.route.RouteTable;

/**
 * What is in force at this edge by the core's configuration, for classes that only read it. Used on
 * the reactor thread.
 */
public interface RoutingView {
    /** The routes and services; empty, with revision 0, before the first configuration. */
    RouteTable table();

    /** The zones from which requests are kept away. */
    Set<String> evacuatedZones();

    /** Whether a replica is an engine that serves a model. */
    default boolean servesModel(ReplicaEndpoint replica, String model) {
        var service = table().services().get(replica.service());
        return service != null && service.inferenceEngine() && service.model().equals(model);
    }

    /** Whether a replica takes requests, as far as the registry and the evacuations go. */
    default boolean isInService(ReplicaEndpoint replica) {
        return replica.isAvailable()
                && !replica.isDeregistered()
                && !evacuatedZones().contains(replica.zone());
    }
}
