package martenloom.core.peer;

import java.util.List;
import martenloom.common.settings.Settings;

/** The core daemons that the settings name as first contacts. */
public final class SeedNodes {
    private SeedNodes() {}

    /** Their addresses without the ports, each once, in the order of the settings. */
    public static List<String> ips(Settings settings) {
        return settings.seedNodes().stream()
                .map(seed -> seed.substring(0, seed.lastIndexOf(':')))
                .distinct()
                .toList();
    }
}
