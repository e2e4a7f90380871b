package martenloom.common.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.error.InvalidSettingsException;
import martenloom.common.error.MartenloomException;

/**
 * The settings of one daemon, read from the settings file and checked field by field; a fault names
 * the field and the reason in one line. Unknown fields are ignored. Nothing here is written back,
 * and a changed file gives a new value.
 */
public final class Settings {
    public final String name;
    public final String ip;
    public final String zone;
    public final String region;
    public final int portLow;
    public final int portHigh;
    public volatile List<String> seeds;
    public final boolean bootstrap;
    public final boolean quorumMember;
    public final String dataDir;
    public final int beatMs;
    public final Set<String> serves;
    public final Map<String, String> zones;
    public final Map<String, String> listen;
    public final int maxFds;
    public final int memoryMb;
    public final int tolerateMachines;
    public volatile Bounds bounds;

    /** The figures of the rules, as the settings file gives them. */
    public static final class Bounds {
        public final int contactMs;
        public final int ackTimeoutMs;
        public final int drainMs;
        public final double graceS;
        public final int configApplyMs;
        public final double retryRatio;
        public final double retryWindowS;
        public final double retrySlack;
        public final double warmOverage;
        public final double warmSlack;
        public final int evacuationMs;
        public final double ttlMaxS;

        private Bounds(Reader r) {
            contactMs = (int) r.num("Bounds.ContactMs", 4000);
            ackTimeoutMs = (int) r.num("Bounds.AckTimeoutMs", 5000);
            drainMs = (int) r.num("Bounds.DrainMs", 2500);
            graceS = r.num("Bounds.GracePeriodS", 8);
            configApplyMs = (int) r.num("Bounds.ConfigApplyMs", 2500);
            retryRatio = r.num("Bounds.RetryBudgetRatio", 0.1);
            retryWindowS = r.num("Bounds.RetryWindowS", 10);
            retrySlack = r.num("Bounds.RetrySlack", 10);
            warmOverage = r.num("Bounds.WarmupOverage", 1);
            warmSlack = r.num("Bounds.WarmupSlack", 0);
            evacuationMs = (int) r.num("Bounds.EvacuationMs", 5000);
            ttlMaxS = r.num("Bounds.ttl_max_s", 5);
        }
    }

    private Settings(UnmodifiableConfig c) {
        var r = new Reader(c);
        name = r.word("NodeName");
        ip = r.word("IpAddress");
        zone = r.word("Zone");
        region = r.word("Region");
        var ports = r.list("InternalPortRange");
        if (ports.size() != 2
                || !(ports.get(0) instanceof Number)
                || !(ports.get(1) instanceof Number)) {
            throw r.bad("InternalPortRange", "must be two port numbers");
        }
        portLow = ((Number) ports.get(0)).intValue();
        portHigh = ((Number) ports.get(1)).intValue();
        if (portLow < 1 || portHigh > 65535 || portLow > portHigh) {
            throw r.bad("InternalPortRange", "must run from a lower to a higher port below 65536");
        }
        seeds = r.words("SeedNodes");
        for (var s : seeds) {
            address("SeedNodes", s);
        }
        bootstrap = r.flag("Bootstrap", false);
        quorumMember = r.flag("QuorumMember", false);
        dataDir = r.maybe("DataDirectory", "");
        beatMs = (int) r.num("HeartbeatIntervalMs", 1000);
        if (beatMs < 1) {
            throw r.bad("HeartbeatIntervalMs", "must be above 0");
        }
        serves = Set.copyOf(r.words("Serves"));
        zones = r.table("Zones");
        listen = r.table("ListenAddresses");
        listen.forEach((k, v) -> address("ListenAddresses." + k, v));
        maxFds = (int) r.num("Limits.MaxFileDescriptors", 1024);
        memoryMb = (int) r.num("Limits.MemoryMb", 256);
        tolerateMachines = (int) r.num("FaultTolerance.Machines", 1);
        bounds = new Bounds(r);
    }

    public static Settings load(String path) {
        if (path.isBlank()) {
            throw new InvalidSettingsException("read settings", "MARTENLOOM_NODE_FILE is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "read settings",
                    path + " cannot be read (" + e.getClass().getSimpleName() + ")");
        }
        return parse(text);
    }

    public static Settings parse(String text) {
        UnmodifiableConfig c;
        try {
            c = new TomlParser().parse(text);
        } catch (RuntimeException e) {
            throw new InvalidSettingsException(
                    "read settings", "not TOML: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
        return new Settings(c);
    }

    /**
     * Takes over from a newly read file what may change while a daemon runs: the seeds and the
     * bounds.
     */
    public void adopt(Settings p) {
        seeds = p.seeds;
        bounds = p.bounds;
    }

    public String need(String k) {
        var v = listen.getOrDefault(k, "");
        if (v.isEmpty()) {
            throw new InvalidSettingsException(
                    "check settings", "ListenAddresses." + k + ": missing, and this role needs it");
        }
        return v;
    }

    public String regionOf(String zone) {
        return zones.getOrDefault(zone, "");
    }

    public static java.net.InetSocketAddress address(String field, String s) {
        var i = s.lastIndexOf(':');
        try {
            if (i > 0) {
                var parts = s.substring(0, i).split("\\.");
                if (parts.length == 4) {
                    var b = new byte[4];
                    for (var k = 0; k < 4; k++) {
                        b[k] = (byte) Integer.parseInt(parts[k]);
                    }
                    return new java.net.InetSocketAddress(
                            java.net.InetAddress.getByAddress(b),
                            Integer.parseInt(s.substring(i + 1)));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidSettingsException(
                    "check settings", field + ": '" + s + "' is not IP:PORT");
        }
        throw new InvalidSettingsException(
                "check settings", field + ": '" + s + "' is not IP:PORT");
    }

    private static final class Reader {
        private final UnmodifiableConfig c;

        private Reader(UnmodifiableConfig c) {
            this.c = c;
        }

        private Optional<Object> at(String k) {
            return Optional.ofNullable(c.get(k));
        }

        private MartenloomException bad(String k, String why) {
            return new InvalidSettingsException("check settings", k + ": " + why);
        }

        private String word(String k) {
            var v = at(k).orElseThrow(() -> bad(k, "missing"));
            if (v instanceof String s && !s.isBlank()) {
                return s;
            }
            throw bad(k, "must be a non-empty string");
        }

        private String maybe(String k, String d) {
            return at(k).map(v -> word(k)).orElse(d);
        }

        private boolean flag(String k, boolean d) {
            var v = at(k).orElse(d);
            if (v instanceof Boolean b) {
                return b;
            }
            throw bad(k, "must be true or false");
        }

        private double num(String k, double d) {
            var v = at(k).orElse(d);
            if (v instanceof Number n && n.doubleValue() >= 0) {
                return n.doubleValue();
            }
            throw bad(k, "must be a number, 0 or more");
        }

        private List<?> list(String k) {
            var v = at(k).orElseThrow(() -> bad(k, "missing"));
            if (v instanceof List<?> l) {
                return l;
            }
            throw bad(k, "must be a list");
        }

        private List<String> words(String k) {
            var out = new ArrayList<String>();
            for (var o : list(k)) {
                if (!(o instanceof String s)) {
                    throw bad(k, "must be a list of strings");
                }
                out.add(s);
            }
            return out;
        }

        private Map<String, String> table(String k) {
            var out = new LinkedHashMap<String, String>();
            var v = at(k).orElseThrow(() -> bad(k, "missing"));
            if (!(v instanceof UnmodifiableConfig t)) {
                throw bad(k, "must be a table");
            }
            t.valueMap()
                    .forEach(
                            (n, o) -> {
                                if (!(o instanceof String s)) {
                                    throw bad(k + "." + n, "must be a string");
                                }
                                out.put(n, s);
                            });
            return out;
        }
    }
}
