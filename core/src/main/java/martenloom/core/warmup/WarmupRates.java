package martenloom.core.warmup;

import java.util.Optional;
import martenloom.common.settings.Settings;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.registry.Registry;
import martenloom.routing.route.RouteTable;

/** The rates that replicas take while they warm up. Runs on the reactor thread. */
public final class WarmupRates {
    private final Settings settings;
    private final Registry registry;
    private final CompiledRoutes routes;

    /** Follows the configuration in force. */
    public WarmupRates(Settings settings, Registry registry, CompiledRoutes routes) {
        this.settings = settings;
        this.registry = registry;
        this.routes = routes;
    }

    RouteTable routeTable() {
        return routes.table();
    }

    /** The requests a second that a replica takes from all edges together; 0 if unknown. */
    int perSecond(String replicaId, RouteTable table) {
        return registry.replica(replicaId)
                .flatMap(replica -> Optional.ofNullable(table.services().get(replica.service())))
                .map(
                        service ->
                                service.coldRequestsPerS(
                                        settings.bounds().warmupOverage(),
                                        settings.bounds().warmupSlack()))
                .orElse(0);
    }
}
