package martenloom.launcher;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigSyntax;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.routing.configuration.Configurations;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.placement.Placement;
import martenloom.routing.route.RouteTable;

/** A file that {@code check-placement} reads: a configuration, who runs where, perhaps a change. */
final class PlacementFile {
    private static final String CHANGE = "Change";

    private final Config file;
    private final RouteTable routes;
    private final Placement present;

    private PlacementFile(Config file) {
        this.file = file;
        var configuration = file.getObject("Configuration").render(ConfigRenderOptions.concise());
        routes = RoutingLanguage.compile(Configurations.replace(configuration).routingText());
        present = readRunning(file, routes);
    }

    /** Reads a file; its change is read when it is asked for. */
    static PlacementFile parse(String json) {
        return checked(
                () ->
                        new PlacementFile(
                                ConfigFactory.parseString(
                                        json,
                                        ConfigParseOptions.defaults()
                                                .setSyntax(ConfigSyntax.JSON))));
    }

    private static <T> T checked(Supplier<T> reading) {
        try {
            return reading.get();
        } catch (ConfigException e) {
            throw new InvalidConfigurationException(
                    "check placement", String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    /** The compiled configuration. */
    RouteTable routes() {
        return routes;
    }

    /** Who runs where. */
    Placement present() {
        return present;
    }

    /** Who would run where after the change, if the file has one. */
    Optional<Placement> changed() {
        return file.hasPath(CHANGE)
                ? Optional.of(checked(() -> applyChange(file.getConfig(CHANGE))))
                : Optional.empty();
    }

    private static Placement readRunning(Config file, RouteTable routes) {
        var placement = new Placement();
        for (var running : file.getConfigList("Running")) {
            var service = running.getString("Backend");
            if (!routes.services().containsKey(service)) {
                throw new ConfigException.BadValue(
                        running.origin(),
                        "Running.Backend",
                        "service '" + service + "' is unknown");
            }
            running.getStringList("Replicas")
                    .forEach(
                            replica ->
                                    placement.addReplica(
                                            service, running.getString("Region"), replica));
        }
        return placement;
    }

    private Placement applyChange(Config change) {
        var model = change.getString("Model");
        var services =
                routes.services().values().stream()
                        .filter(
                                service ->
                                        service.inferenceEngine() && service.model().equals(model))
                        .toList();
        if (services.isEmpty()) {
            throw new ConfigException.BadValue(
                    change.origin(), "Change.Model", "model '" + model + "' is unknown");
        }
        var onlyReplicas = change.hasPath("Replicas");
        return present.without(
                services,
                change.getString("Region"),
                !onlyReplicas,
                onlyReplicas ? Set.copyOf(change.getStringList("Replicas")) : Set.of());
    }
}
