package martenloom.routing.language;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenloom.autoscaler.ScalingField;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.routing.route.ClientLimits;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/**
 * Parses the lines of one text in the {@link RoutingLanguage}, in their order: a name has to be
 * defined before it is used. Not thread-safe.
 */
final class RoutingParser {
    private static final int US_PER_MS = 1000;

    private long revision;
    private ClientLimits limits = ClientLimits.DEFAULT;
    private final Map<String, ServiceSpec> services = new LinkedHashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final Map<String, ScalingSettings> scaling = new TreeMap<>();

    /** The host and prefix of each route so far. */
    private final Set<String> routedPlaces = new HashSet<>();

    /** The table of all lines that were parsed. */
    RouteTable table() {
        return new RouteTable(revision, limits, services.values(), routes, scaling);
    }

    void parseLine(int number, String text) {
        var line = new RoutingLine(number, text);
        if (!line.hasMore()) {
            return;
        }
        var statement = line.take("a statement");
        switch (statement) {
            case "revision" -> revision = line.takeNumber("");
            case "limits" -> limits = limits(line);
            case "service" -> service(line);
            case "route" -> route(line);
            case "scaling" -> scaling(line);
            default ->
                    throw line.errorAtLast(
                            "'"
                                    + statement
                                    + "' is no statement (revision, limits, service, route,"
                                    + " scaling)");
        }
        line.requireEnd();
    }

    private static ClientLimits limits(RoutingLine line) {
        line.takeKeyword("head");
        var maxHeaderBytes = line.takeInt();
        line.takeKeyword("body");
        var maxBodyBytes = line.takeInt();
        line.takeKeyword("head-wait");
        var headerTimeoutMs = (int) line.takeNumber("ms");
        line.takeKeyword("idle");
        var idleTimeoutMs = (int) line.takeNumber("ms");
        return new ClientLimits(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }

    private void service(RoutingLine line) {
        var name = line.take("the service's name");
        var service = ServiceSpec.builder().name(name);
        line.takeKeyword("health");
        service.healthPath(line.take("the health path"));
        line.takeKeyword("connections");
        service.maxConnections(line.takeInt());
        if (line.takeIf("warm")) {
            service.warmupUs(takeMicroseconds(line)).warmupRequestsPerS(line.takeDecimal("/s"));
        }
        if (line.takeIf("engine")) {
            service.inferenceEngine(true)
                    .engineCapacity(line.takeInt())
                    .cacheTokens(line.takeNumber(""))
                    .stepSize(line.takeInt())
                    .model(line.take("the model"));
        }
        services.put(name, service.build());
    }

    private void route(RoutingLine line) {
        var name = line.take("the route's name");
        var route = Route.builder().name(name);
        place(line, route);
        route.kind(kind(line));
        line.takeKeyword("within");
        var timeoutUs = takeMicroseconds(line);
        if (timeoutUs <= 0) {
            throw line.errorAtLast("the time-out is 0");
        }
        route.timeoutUs(timeoutUs);
        line.takeKeyword("aim");
        route.latencyTargetUs(takeMicroseconds(line));
        line.takeKeyword("pause");
        route.tokenGapTargetUs(takeMicroseconds(line));
        line.takeKeyword("rank");
        route.priority(line.takeInt());
        line.takeKeyword("tries");
        route.maxAttempts((int) Math.max(1, line.takeNumber("")));
        route.resumable(line.takeIf("resumable"));
        route.sessionAffinity(line.takeIf("affinity"));
        line.takeKeyword("to");
        trafficSplit(line, name, route);
        if (line.takeIf("only")) {
            while (line.hasMore()) {
                route.allowRegions(List.of(line.take("a region")));
            }
        }
        routes.add(route.build());
    }

    /** The host and the prefix, which no other route may have. */
    private void place(RoutingLine line, Route.Builder route) {
        line.takeKeyword("host");
        var host = line.take("the host");
        line.takeKeyword("under");
        var prefix = line.take("the prefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw line.errorAtLast("a prefix begins and ends with a slash");
        }
        if (!routedPlaces.add(host + " " + prefix)) {
            throw line.errorAtLast("another route has this host and prefix");
        }
        route.host(host).pathPrefix(prefix);
    }

    private static RouteKind kind(RoutingLine line) {
        var name = line.take("the kind");
        try {
            return RouteKind.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw line.errorAtLast(
                    "'" + name + "' is no kind (idempotent, non_idempotent, streaming)");
        }
    }

    private void trafficSplit(RoutingLine line, String routeName, Route.Builder route) {
        var sum = 0L;
        while (line.hasMore() && !line.nextIs("only")) {
            var service = line.take("a service");
            if (!services.containsKey(service)) {
                throw line.errorAtLast("service '" + service + "' is unknown");
            }
            var weight = line.takeNumber("");
            if (weight < 0) {
                throw line.errorAtLast("a weight is below 0");
            }
            sum += weight;
            route.addService(service, (int) weight);
        }
        if (sum <= 0) {
            throw line.errorAtNext("the weights of route '" + routeName + "' sum to 0");
        }
    }

    private void scaling(RoutingLine line) {
        var model = line.take("the model");
        if (services.values().stream()
                .noneMatch(service -> service.inferenceEngine() && service.model().equals(model))) {
            throw line.errorAtLast("no service has model '" + model + "'");
        }
        var values = new EnumMap<ScalingField, Double>(ScalingField.class);
        while (line.hasMore()) {
            var field = scalingField(line);
            var value = line.takeDecimal("");
            if (value != 0 || !field.zeroIsUnset()) {
                values.put(field, value);
            }
        }
        try {
            scaling.put(model, ScalingSettings.DEFAULT.with(model, values));
        } catch (InvalidConfigurationException e) {
            throw line.errorAtLast(e.getMessage());
        }
    }

    private static ScalingField scalingField(RoutingLine line) {
        var keyword = line.take("a field");
        return Arrays.stream(ScalingField.values())
                .filter(field -> field.keyword().equals(keyword))
                .findFirst()
                .orElseThrow(() -> line.errorAtLast("'" + keyword + "' is no field of scaling"));
    }

    private static long takeMicroseconds(RoutingLine line) {
        return line.takeNumber("ms") * US_PER_MS;
    }
}
