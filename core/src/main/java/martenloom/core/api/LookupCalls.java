package martenloom.core.api;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.settings.Settings;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.registry.Registry;

/** The lookup of edges by clients; near ones come first. Runs on the reactor thread. */
final class LookupCalls {
    private static final int MAX_ADDRESSES = 64;
    private static final double MAX_TTL_S = 4;

    private final Settings settings;
    private final Registry registry;
    private final CompiledRoutes routes;

    LookupCalls(Settings settings, Registry registry, CompiledRoutes routes) {
        this.settings = settings;
        this.registry = registry;
        this.routes = routes;
    }

    /** The addresses of edges for a client in a zone and region that asks for a host. */
    HttpResponse lookup(HttpRequest request) {
        var zone = parameter(request, "Zone");
        var region = parameter(request, "Region");
        var host = parameter(request, "Name");
        var ready =
                registry.liveEdges(Clocks.nowUs()).stream()
                        .filter(edge -> edge.ready() && !edge.draining())
                        .toList();
        var chosen =
                EdgeDirectory.choose(
                        ready, zone, region, EdgeDirectory.homeRegions(routes.table(), host));
        return chosen.isEmpty()
                ? ApiResponses.response(HttpStatus.SERVICE_UNAVAILABLE, "no edge is ready")
                : ApiResponses.ok(json(chosen));
    }

    private static String parameter(HttpRequest request, String name) {
        return Optional.ofNullable(request.getQueryParameter(name)).orElse("");
    }

    private String json(List<EdgeRecord> edges) {
        var json = new StringBuilder("{\"Addresses\":[");
        var separator = "";
        for (var edge : edges.subList(0, Math.min(MAX_ADDRESSES, edges.size()))) {
            json.append(separator).append('"').append(edge.frontendAddress()).append('"');
            separator = ",";
        }
        var ttlS = Math.min(settings.bounds().maxTtlS(), MAX_TTL_S);
        return json.append("],\"TtlS\":").append(ttlS).append('}').toString();
    }
}
