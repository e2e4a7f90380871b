package martenloom.routing.configuration;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigUtil;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueFactory;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenloom.routing.language.RoutingLanguage;

/**
 * Checks the operator's configurations: a whole configuration, or an update that is merged into the
 * one in force. What passes is turned into the routing language and compiled once as a check; what
 * does not is an {@link martenloom.common.error.InvalidConfigurationException} with the line, the
 * item and the reason. Thread-safe: it keeps no state.
 */
public final class Configurations {
    /** The lists whose elements an update replaces or removes one by one, by name. */
    private static final List<String> LISTS_BY_NAME = List.of("Routes", "Backends", "Autoscaling");

    private Configurations() {}

    /** Checks a configuration that replaces the one in force. */
    public static CheckedConfiguration replace(String json) {
        return check(JsonText.parse(json), json);
    }

    /**
     * Merges an update into a configuration and checks the result.
     *
     * @param base the configuration in force; empty when there is none
     */
    public static CheckedConfiguration update(String base, String json) {
        var update = JsonText.parse(json);
        var revision = ConfigurationReader.revision(update);
        var merged = base.isEmpty() ? ConfigFactory.empty() : JsonText.parse(base);
        var keys = new LinkedHashSet<>(LISTS_BY_NAME);
        keys.addAll(keys(update, "Upsert"));
        keys.addAll(keys(update, "Remove"));
        for (var key : keys) {
            merged = merge(merged, update, key);
        }
        merged = merged.withValue("Revision", ConfigValueFactory.fromAnyRef(revision));
        return check(merged, merged.root().render(ConfigRenderOptions.concise()));
    }

    /** The revision of a configuration or of an update. */
    public static long revisionOf(String json) {
        return ConfigurationReader.revision(JsonText.parse(json));
    }

    private static CheckedConfiguration check(Config configuration, String json) {
        var table = ConfigurationReader.read(configuration);
        var routingText = RoutingLanguage.print(table);
        RoutingLanguage.compile(routingText);
        return new CheckedConfiguration(table.revision(), json, routingText);
    }

    private static Set<String> keys(Config update, String section) {
        return update.hasPath(section)
                ? JsonText.checking(() -> update.getObject(section).keySet())
                : Set.of();
    }

    /** Merges what an update says of one key of the configuration. */
    private static Config merge(Config base, Config update, String key) {
        var path = ConfigUtil.joinPath(key);
        var upsert = "Upsert." + path;
        if (!LISTS_BY_NAME.contains(key)) {
            return update.hasPath(upsert) ? base.withValue(path, update.getValue(upsert)) : base;
        }
        return JsonText.checking(() -> mergeList(base, update, path));
    }

    private static Config mergeList(Config base, Config update, String path) {
        var elements = new LinkedHashMap<String, ConfigValue>();
        putByName(elements, base, path);
        var remove = "Remove." + path;
        if (update.hasPath(remove)) {
            update.getStringList(remove).forEach(elements::remove);
        }
        putByName(elements, update, "Upsert." + path);
        return base.withValue(path, ConfigValueFactory.fromIterable(elements.values()));
    }

    private static void putByName(
            LinkedHashMap<String, ConfigValue> elements, Config from, String path) {
        JsonText.objects(from, path)
                .forEach(element -> elements.put(element.getString("Name"), element.root()));
    }
}
