package martenloom.routing.configuration;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import martenloom.autoscaler.ScalingField;
import martenloom.autoscaler.ScalingSettings;
import martenloom.routing.route.ClientLimits;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/** Turns the JSON of a whole configuration into a {@link RouteTable}. */
final class ConfigurationReader {
    private static final int US_PER_MS = 1000;
    private static final int US_PER_S = 1_000_000;
    private static final int DEFAULT_LATENCY_TARGET_MS = 1000;

    /** The weight of a service that is the only one of its route. */
    private static final int WHOLE_WEIGHT = 100;

    private ConfigurationReader() {}

    static RouteTable read(Config configuration) {
        return JsonText.checking(() -> table(configuration));
    }

    static long revision(Config configuration) {
        return JsonText.checking(
                () -> {
                    var revision = configuration.getLong("Revision");
                    if (revision < 1) {
                        throw new ConfigException.BadValue(
                                configuration.origin(), "Revision", "must be above 0");
                    }
                    return revision;
                });
    }

    private static RouteTable table(Config configuration) {
        var services = new ArrayList<ServiceSpec>();
        for (var service : JsonText.objects(configuration, "Backends")) {
            services.add(service(service));
        }
        var routes = new ArrayList<Route>();
        for (var route : JsonText.objects(configuration, "Routes")) {
            routes.add(route(route, services));
        }
        return new RouteTable(
                revision(configuration),
                limits(configuration),
                services,
                routes,
                scaling(configuration));
    }

    private static ClientLimits limits(Config configuration) {
        var defaults = ClientLimits.DEFAULT;
        var limits =
                configuration.hasPath("Limits")
                        ? configuration.getConfig("Limits")
                        : ConfigFactory.empty();
        return new ClientLimits(
                JsonText.number(limits, "MaxHeaderBytes", defaults.maxHeaderBytes()),
                JsonText.number(limits, "MaxBodyBytes", defaults.maxBodyBytes()),
                JsonText.number(limits, "HeaderTimeoutMs", defaults.headerTimeoutMs()),
                JsonText.number(limits, "IdleTimeoutMs", defaults.idleTimeoutMs()));
    }

    private static ServiceSpec service(Config object) {
        var service =
                ServiceSpec.builder()
                        .name(object.getString("Name"))
                        .healthPath(
                                object.hasPath("HealthPath") ? object.getString("HealthPath") : "/")
                        .maxConnections(
                                JsonText.number(
                                        object, "MaxConnections", ServiceSpec.DEFAULT_CONNECTIONS));
        if (object.hasPath("WarmupS")) {
            service.warmupUs((long) (object.getDouble("WarmupS") * US_PER_S));
        }
        if (object.hasPath("WarmupPerS")) {
            service.warmupRequestsPerS(object.getDouble("WarmupPerS"));
        }
        if (object.hasPath("InferenceEngine")) {
            engine(object.getConfig("InferenceEngine"), service);
        }
        return service.build();
    }

    private static void engine(Config object, ServiceSpec.Builder service) {
        service.inferenceEngine(true)
                .engineCapacity(JsonText.number(object, "Capacity", 1))
                .cacheTokens(
                        object.hasPath("CacheTokens") ? (long) object.getDouble("CacheTokens") : 0)
                .stepSize(JsonText.number(object, "StepSize", 1));
        var models = JsonText.objects(object, "Models");
        if (!models.isEmpty()) {
            service.model(models.get(0).getString("Name"));
        }
    }

    private static Route route(Config object, List<ServiceSpec> services) {
        var builder =
                Route.builder()
                        .name(object.getString("Name"))
                        .host(object.getString("Hostname").toLowerCase(Locale.ROOT))
                        .pathPrefix(object.getString("PathPrefix"))
                        .kind(kind(object))
                        .timeoutUs((long) (object.getDouble("TimeoutMs") * US_PER_MS))
                        .latencyTargetUs(
                                microseconds(object, "TargetLatencyMs", DEFAULT_LATENCY_TARGET_MS))
                        .tokenGapTargetUs(microseconds(object, "TargetGapMs", 0))
                        .priority(JsonText.number(object, "Priority", 1))
                        .maxAttempts(Math.max(1, JsonText.number(object, "MaxAttempts", 1)))
                        .resumable(JsonText.flag(object, "Resumable"))
                        .sessionAffinity(JsonText.flag(object, "SessionAffinity"));
        if (object.hasPath("AllowedRegions")) {
            builder.allowRegions(object.getStringList("AllowedRegions"));
        }
        var split = JsonText.objects(object, "TrafficSplit");
        split.forEach(
                share ->
                        builder.addService(
                                share.getString("Backend"), JsonText.number(share, "Weight", 0)));
        if (split.isEmpty()) {
            builder.addService(object.getString("Backend"), WHOLE_WEIGHT);
        }
        var route = builder.build();
        requireKnownServices(object, route, services);
        return route;
    }

    private static void requireKnownServices(
            Config object, Route route, List<ServiceSpec> services) {
        for (var share : route.trafficSplit()) {
            if (services.stream().noneMatch(known -> known.name().equals(share.service()))) {
                throw new ConfigException.BadValue(
                        object.origin(),
                        "Backend",
                        "route '"
                                + route.name()
                                + "' names service '"
                                + share.service()
                                + "', which is unknown");
            }
        }
    }

    private static long microseconds(Config object, String field, int defaultMs) {
        return (long) JsonText.number(object, field, defaultMs) * US_PER_MS;
    }

    private static RouteKind kind(Config route) {
        var name = route.getString("RouteType");
        try {
            return RouteKind.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new ConfigException.BadValue(
                    route.getValue("RouteType").origin(),
                    "RouteType",
                    "'" + name + "' is no kind of route");
        }
    }

    /**
     * One object for each model that is not to have the defaults; an unknown field is rejected, so
     * that no typing error passes.
     */
    private static Map<String, ScalingSettings> scaling(Config configuration) {
        var byModel = new TreeMap<String, ScalingSettings>();
        for (var object : JsonText.objects(configuration, "Autoscaling")) {
            var model = object.getString("Name");
            var values = new EnumMap<ScalingField, Double>(ScalingField.class);
            for (var name : object.root().keySet()) {
                if (!name.equals("Name")) {
                    values.put(scalingField(object, model, name), object.getDouble(name));
                }
            }
            byModel.put(model, ScalingSettings.DEFAULT.with(model, values));
        }
        return byModel;
    }

    private static ScalingField scalingField(Config object, String model, String name) {
        return Arrays.stream(ScalingField.values())
                .filter(field -> field.configurationName().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new ConfigException.BadValue(
                                        object.origin(),
                                        name,
                                        "model '" + model + "': no field of Autoscaling"));
    }
}
