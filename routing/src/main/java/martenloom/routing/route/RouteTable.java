package martenloom.routing.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.autoscaler.ScalingSettings;

/**
 * The table that a configuration compiles to: routes found by host and longest path prefix,
 * services, limits on clients and the autoscaling of models. Immutable; a new configuration gives a
 * new table.
 */
public final class RouteTable {
    /** The table before any configuration is known. */
    public static final RouteTable EMPTY =
            new RouteTable(0, ClientLimits.DEFAULT, List.of(), List.of(), Map.of());

    private final long revision;
    private final ClientLimits limits;
    private final Map<String, ServiceSpec> services;
    private final List<Route> routes;
    private final Map<String, ScalingSettings> scaling;

    /** Routes by host and path prefix. */
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * @param revision the revision of the configuration; 0 for none
     * @param scaling settings by model; a model without an entry has the defaults
     */
    public RouteTable(
            long revision,
            ClientLimits limits,
            Collection<ServiceSpec> services,
            Collection<Route> routes,
            Map<String, ScalingSettings> scaling) {
        this.revision = revision;
        this.limits = limits;
        var byName = new LinkedHashMap<String, ServiceSpec>();
        services.forEach(service -> byName.put(service.name(), service));
        this.services = Collections.unmodifiableMap(byName);
        this.routes = List.copyOf(routes);
        this.scaling = Map.copyOf(scaling);
        this.routes.forEach(
                route ->
                        byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                                .put(route.pathPrefix(), route));
    }

    public long revision() {
        return revision;
    }

    public ClientLimits limits() {
        return limits;
    }

    /** The services by name, in the order of the configuration. */
    public Map<String, ServiceSpec> services() {
        return services;
    }

    /** The routes in the order of the configuration. */
    public List<Route> routes() {
        return routes;
    }

    /** The settings of the autoscaler by model; a model without an entry has the defaults. */
    public Map<String, ScalingSettings> scaling() {
        return scaling;
    }

    /** The route of a host whose prefix is the longest that the path begins with. */
    public Optional<Route> find(String host, String path) {
        var byPrefix = byHost.getOrDefault(host, Map.of());
        var end = path.length();
        while (!byPrefix.isEmpty() && end > 0) {
            end = path.lastIndexOf('/', end - 1);
            if (end < 0) {
                break;
            }
            var route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
