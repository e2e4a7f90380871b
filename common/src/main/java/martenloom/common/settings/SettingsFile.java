package martenloom.common.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.util.NoSuchElementException;
import martenloom.common.error.InvalidSettingsException;

/**
 * Reads the settings file, which is TOML. Unknown fields are ignored, and the file is never
 * written. Whatever is wrong with the file is an {@link InvalidSettingsException} that names the
 * field and the reason in one line.
 */
public final class SettingsFile {
    private static final String STEP = "read settings";

    private SettingsFile() {}

    /** Reads and checks the file at this path; a blank path stands for a missing variable. */
    public static Settings load(String path) {
        if (path.isBlank()) {
            throw new InvalidSettingsException(STEP, "MARTENLOOM_NODE_FILE is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    STEP, path + " cannot be read (" + e.getClass().getSimpleName() + ")");
        }
        return parse(text);
    }

    /** Parses and checks the text of a settings file. */
    public static Settings parse(String text) {
        return new Settings(new SettingsFields(parseToml(text)));
    }

    /** Apart from its own exception, the parser lets those of malformed literals through. */
    private static UnmodifiableConfig parseToml(String text) {
        try {
            return new TomlParser().parse(text);
        } catch (ParsingException
                | IllegalArgumentException
                | DateTimeException
                | IndexOutOfBoundsException
                | NoSuchElementException
                | ClassCastException e) {
            throw new InvalidSettingsException(
                    STEP, "not TOML: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }
}
