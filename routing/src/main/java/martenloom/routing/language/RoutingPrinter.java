package martenloom.routing.language;

import java.util.Locale;
import java.util.TreeMap;
import martenloom.autoscaler.ScalingField;
import martenloom.autoscaler.ScalingSettings;
import martenloom.routing.route.ClientLimits;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/** Prints one table in the {@link RoutingLanguage}. Not thread-safe. */
final class RoutingPrinter {
    private static final int US_PER_MS = 1000;

    private final StringBuilder text = new StringBuilder();

    String print(RouteTable table) {
        text.append("revision ").append(table.revision()).append('\n');
        limits(table.limits());
        table.services().values().forEach(this::service);
        table.routes().forEach(this::route);
        new TreeMap<>(table.scaling()).forEach(this::scaling);
        return text.toString();
    }

    private void limits(ClientLimits limits) {
        text.append("limits head ")
                .append(limits.maxHeaderBytes())
                .append(" body ")
                .append(limits.maxBodyBytes())
                .append(" head-wait ")
                .append(limits.headerTimeoutMs())
                .append("ms idle ")
                .append(limits.idleTimeoutMs())
                .append("ms\n");
    }

    private void service(ServiceSpec service) {
        text.append("service ")
                .append(quoted(service.name()))
                .append(" health ")
                .append(quoted(service.healthPath()))
                .append(" connections ")
                .append(service.maxConnections());
        if (service.warmupRequestsPerS() > 0) {
            text.append(" warm ")
                    .append(service.warmupUs() / US_PER_MS)
                    .append("ms ")
                    .append(service.warmupRequestsPerS())
                    .append("/s");
        }
        if (service.inferenceEngine()) {
            text.append(" engine ")
                    .append(service.engineCapacity())
                    .append(' ')
                    .append(service.cacheTokens())
                    .append(' ')
                    .append(service.stepSize())
                    .append(' ')
                    .append(quoted(service.model()));
        }
        text.append('\n');
    }

    private void route(Route route) {
        text.append("route ")
                .append(quoted(route.name()))
                .append(" host ")
                .append(quoted(route.host()))
                .append(" under ")
                .append(quoted(route.pathPrefix()))
                .append(' ')
                .append(route.kind().name().toLowerCase(Locale.ROOT))
                .append(" within ")
                .append(route.timeoutUs() / US_PER_MS)
                .append("ms aim ")
                .append(route.latencyTargetUs() / US_PER_MS)
                .append("ms pause ")
                .append(route.tokenGapTargetUs() / US_PER_MS)
                .append("ms rank ")
                .append(route.priority())
                .append(" tries ")
                .append(route.maxAttempts());
        if (route.resumable()) {
            text.append(" resumable");
        }
        if (route.sessionAffinity()) {
            text.append(" affinity");
        }
        text.append(" to");
        route.trafficSplit()
                .forEach(
                        share ->
                                text.append(' ')
                                        .append(quoted(share.service()))
                                        .append(' ')
                                        .append(share.weight()));
        if (!route.allowedRegions().isEmpty()) {
            text.append(" only");
            route.allowedRegions().forEach(region -> text.append(' ').append(quoted(region)));
        }
        text.append('\n');
    }

    private void scaling(String model, ScalingSettings settings) {
        text.append("scaling ").append(quoted(model));
        for (var field : ScalingField.values()) {
            text.append(' ').append(field.keyword()).append(' ').append(settings.get(field));
        }
        text.append('\n');
    }

    private static String quoted(String word) {
        return word.isEmpty() || word.contains(" ") || word.contains("\t")
                ? '"' + word + '"'
                : word;
    }
}
