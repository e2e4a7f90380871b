package martenloom.common.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.common.error.InvalidSettingsException;

/**
 * The fields of a settings file by their type. A field is named by its path, such as {@code
 * Bounds.DrainMs}; one that is missing without a default or has another type is an {@link
 * InvalidSettingsException}. Not thread-safe.
 */
final class SettingsFields {
    private static final String STEP = "check settings";

    private final UnmodifiableConfig toml;

    SettingsFields(UnmodifiableConfig toml) {
        this.toml = toml;
    }

    /** The exception for a field and the reason why its value is not allowed. */
    static InvalidSettingsException invalid(String field, String reason) {
        return new InvalidSettingsException(STEP, field + ": " + reason);
    }

    private Optional<Object> find(String field) {
        return Optional.ofNullable(toml.get(field));
    }

    private Object require(String field) {
        return find(field).orElseThrow(() -> invalid(field, "missing"));
    }

    String requiredText(String field) {
        if (require(field) instanceof String text && !text.isBlank()) {
            return text;
        }
        throw invalid(field, "must be a non-empty string");
    }

    String text(String field, String defaultValue) {
        return find(field).map(present -> requiredText(field)).orElse(defaultValue);
    }

    boolean flag(String field, boolean defaultValue) {
        if (find(field).orElse(defaultValue) instanceof Boolean flag) {
            return flag;
        }
        throw invalid(field, "must be true or false");
    }

    /** A number that is not negative. */
    double number(String field, double defaultValue) {
        if (find(field).orElse(defaultValue) instanceof Number number
                && number.doubleValue() >= 0) {
            return number.doubleValue();
        }
        throw invalid(field, "must be a number, 0 or more");
    }

    List<?> list(String field) {
        if (require(field) instanceof List<?> list) {
            return list;
        }
        throw invalid(field, "must be a list");
    }

    List<String> texts(String field) {
        var texts = new ArrayList<String>();
        for (var element : list(field)) {
            if (!(element instanceof String text)) {
                throw invalid(field, "must be a list of strings");
            }
            texts.add(text);
        }
        return texts;
    }

    /** A table of strings, in the order of the file. */
    Map<String, String> table(String field) {
        if (!(require(field) instanceof UnmodifiableConfig table)) {
            throw invalid(field, "must be a table");
        }
        var entries = new LinkedHashMap<String, String>();
        table.valueMap()
                .forEach(
                        (name, value) -> {
                            if (!(value instanceof String text)) {
                                throw invalid(field + "." + name, "must be a string");
                            }
                            entries.put(name, text);
                        });
        return entries;
    }
}
