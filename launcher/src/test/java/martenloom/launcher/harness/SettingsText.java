package martenloom.launcher.harness;

import java.nio.file.Path;
import java.util.List;

/** Writes the text of a daemon's settings file, line by line. Not thread-safe. */
public final class SettingsText {
    private final StringBuilder text = new StringBuilder();

    /** Begins the settings of a daemon of this name at this address. */
    public SettingsText(String nodeName, String ip) {
        quoted("NodeName", nodeName).quoted("IpAddress", ip);
    }

    /** The zone and region of the daemon. */
    public SettingsText located(String zone, String region) {
        return quoted("Zone", zone).quoted("Region", region);
    }

    /** The ports between daemons, both included. */
    public SettingsText internalPorts(int first, int last) {
        return value("InternalPortRange", "[" + first + "," + last + "]");
    }

    /** The control planes at which the daemon looks for the cluster. */
    public SettingsText seeds(List<String> addresses) {
        var quoted = addresses.stream().map(address -> '"' + address + '"').toList();
        return value("SeedNodes", "[" + String.join(",", quoted) + "]");
    }

    /** Where the daemon keeps its files. */
    public SettingsText dataDirectory(Path directory) {
        return quoted("DataDirectory", directory.toString());
    }

    /** Begins a section; what follows belongs to it. */
    public SettingsText section(String name) {
        text.append('[').append(name).append("]\n");
        return this;
    }

    /** A text. */
    public SettingsText quoted(String key, String value) {
        return value(key, '"' + value + '"');
    }

    /** A number, a boolean or a list as it is written. */
    public SettingsText value(String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
