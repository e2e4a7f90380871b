package martenloom.routing.configuration;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import java.util.List;
import java.util.function.Supplier;
import martenloom.common.error.InvalidConfigurationException;

/**
 * Reads JSON with Typesafe Config, and turns its exceptions into {@link
 * InvalidConfigurationException}s with the line, the item and the reason.
 */
public final class JsonText {
    private static final ConfigParseOptions JSON =
            ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON);

    private JsonText() {}

    /** Parses a JSON object. */
    public static Config parse(String json) {
        return checking(() -> ConfigFactory.parseString(json, JSON));
    }

    /** Runs a reading of the fields of an object. */
    static <T> T checking(Supplier<T> reading) {
        try {
            return reading.get();
        } catch (ConfigException e) {
            throw new InvalidConfigurationException(
                    "check configuration", String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    static int number(Config object, String field, int defaultValue) {
        return object.hasPath(field) ? (int) object.getDouble(field) : defaultValue;
    }

    static boolean flag(Config object, String field) {
        return object.hasPath(field) && object.getBoolean(field);
    }

    /** The objects of a list; none when the list is missing. */
    static List<? extends Config> objects(Config object, String field) {
        return object.hasPath(field) ? object.getConfigList(field) : List.of();
    }
}
