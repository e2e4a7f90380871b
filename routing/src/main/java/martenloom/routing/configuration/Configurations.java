package martenloom.routing.configuration;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigSyntax;
import com.typesafe.config.ConfigUtil;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenloom.autoscaler.ScaleSettings;
import martenloom.common.error.InvalidConfigurationException;
import martenloom.common.error.MartenloomException;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.route.RouteTable;

/**
 * Reads and checks the operator's configurations with Typesafe Config: a whole configuration, or an
 * update that is merged into the one in force. What passes is turned into the routing language and
 * compiled once as a check; what does not is a fault naming the line, the item and the reason.
 */
public final class Configurations {
    private static final ConfigParseOptions JSON =
            ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON);
    private static final List<String> NAMED = List.of("Routes", "Backends", "Autoscaling");

    private Configurations() {}

    /**
     * A checked configuration: its number, the text to read back, and the same in the routing
     * language.
     */
    public static final class Checked {
        public final long revision;
        public final String json;
        public final String routingText;

        private Checked(long r, String j, String m) {
            revision = r;
            json = j;
            routingText = m;
        }
    }

    public static Checked replace(String json) {
        var c = parse(json);
        return checked(c, json);
    }

    public static Checked update(String base, String json) {
        var u = parse(json);
        var rev = revision(u);
        var o = base.isEmpty() ? ConfigFactory.empty() : parse(base);
        var keys = new LinkedHashSet<>(NAMED);
        keys.addAll(names(u, "Upsert"));
        keys.addAll(names(u, "Remove"));
        for (var k : keys) {
            o = merge(o, u, k);
        }
        o = o.withValue("Revision", ConfigValueFactory.fromAnyRef(rev));
        return checked(o, o.root().render(ConfigRenderOptions.concise()));
    }

    public static long revisionOf(String json) {
        return revision(parse(json));
    }

    private static Set<String> names(Config u, String k) {
        if (!u.hasPath(k)) {
            return Set.of();
        }
        return guard(() -> u.getObject(k).keySet());
    }

    private static Config merge(Config o, Config u, String k) {
        var up = "Upsert." + ConfigUtil.joinPath(k);
        var down = "Remove." + ConfigUtil.joinPath(k);
        var path = ConfigUtil.joinPath(k);
        if (!NAMED.contains(k)) {
            return u.hasPath(up) ? o.withValue(path, u.getValue(up)) : o;
        }
        return guard(
                () -> {
                    var m = new LinkedHashMap<String, ConfigValue>();
                    if (o.hasPath(path)) {
                        o.getConfigList(path).forEach(x -> m.put(x.getString("Name"), x.root()));
                    }
                    if (u.hasPath(down)) {
                        u.getStringList(down).forEach(m::remove);
                    }
                    if (u.hasPath(up)) {
                        u.getConfigList(up).forEach(x -> m.put(x.getString("Name"), x.root()));
                    }
                    return o.withValue(path, ConfigValueFactory.fromIterable(m.values()));
                });
    }

    private static <T> T guard(java.util.function.Supplier<T> s) {
        try {
            return s.get();
        } catch (ConfigException e) {
            throw bad(e);
        }
    }

    private static MartenloomException bad(ConfigException e) {
        return new InvalidConfigurationException(
                "check configuration", String.valueOf(e.getMessage()).replace('\n', ' '));
    }

    private static Config parse(String json) {
        return guard(() -> ConfigFactory.parseString(json, JSON));
    }

    private static long revision(Config c) {
        return guard(
                () -> {
                    var r = c.getLong("Revision");
                    if (r < 1) {
                        throw new ConfigException.BadValue(
                                c.origin(), "Revision", "must be above 0");
                    }
                    return r;
                });
    }

    private static Checked checked(Config c, String json) {
        var t = guard(() -> table(c));
        var m = RoutingLanguage.write(t);
        RoutingLanguage.compile(m);
        return new Checked(t.revision, json, m);
    }

    private static RouteTable table(Config c) {
        var ss = new ArrayList<RouteTable.Service>();
        for (var s : c.hasPath("Backends") ? c.getConfigList("Backends") : List.<Config>of()) {
            ss.add(service(s));
        }
        var rs = new ArrayList<RouteTable.Route>();
        for (var r : c.hasPath("Routes") ? c.getConfigList("Routes") : List.<Config>of()) {
            rs.add(route(r, ss));
        }
        return new RouteTable(revision(c), limits(c), ss, rs, scaling(c));
    }

    /**
     * One object for each model that is not to have the defaults; an unknown field is refused, so
     * that no typing error passes.
     */
    private static Map<String, ScaleSettings> scaling(Config c) {
        var m = new TreeMap<String, ScaleSettings>();
        for (var a :
                c.hasPath("Autoscaling") ? c.getConfigList("Autoscaling") : List.<Config>of()) {
            var model = a.getString("Name");
            var v = new EnumMap<ScaleSettings.Field, Double>(ScaleSettings.Field.class);
            for (var k : a.root().keySet()) {
                if (k.equals("Name")) {
                    continue;
                }
                var f =
                        Arrays.stream(ScaleSettings.Field.values())
                                .filter(x -> x.name.equals(k))
                                .findFirst()
                                .orElseThrow(
                                        () ->
                                                new ConfigException.BadValue(
                                                        a.origin(),
                                                        k,
                                                        "model '"
                                                                + model
                                                                + "': no field of Autoscaling"));
                v.put(f, a.getDouble(k));
            }
            m.put(model, ScaleSettings.DEFAULT.with(model, v));
        }
        return m;
    }

    private static RouteTable.Limits limits(Config c) {
        var d = RouteTable.Limits.DEFAULT;
        var l = c.hasPath("Limits") ? c.getConfig("Limits") : ConfigFactory.empty();
        return new RouteTable.Limits(
                num(l, "MaxHeaderBytes", d.headBytes),
                num(l, "MaxBodyBytes", d.bodyBytes),
                num(l, "HeaderTimeoutMs", d.headMs),
                num(l, "IdleTimeoutMs", d.idleMs));
    }

    private static int num(Config c, String k, int d) {
        return c.hasPath(k) ? (int) c.getDouble(k) : d;
    }

    private static RouteTable.Service service(Config c) {
        var s = new RouteTable.Service();
        s.name = c.getString("Name");
        s.healthPath = c.hasPath("HealthPath") ? c.getString("HealthPath") : "/";
        s.maxConnections = num(c, "MaxConnections", s.maxConnections);
        s.warmUs = c.hasPath("WarmupS") ? (long) (c.getDouble("WarmupS") * 1_000_000) : 0;
        s.warmPerS = c.hasPath("WarmupPerS") ? c.getDouble("WarmupPerS") : 0;
        if (c.hasPath("InferenceEngine")) {
            var e = c.getConfig("InferenceEngine");
            s.engine = true;
            s.capacity = num(e, "Capacity", 1);
            s.cacheTokens = e.hasPath("CacheTokens") ? (long) e.getDouble("CacheTokens") : 0;
            s.stepSize = num(e, "StepSize", 1);
            var ms = e.hasPath("Models") ? e.getConfigList("Models") : List.<Config>of();
            s.model = ms.isEmpty() ? "" : ms.get(0).getString("Name");
        }
        return s;
    }

    private static RouteTable.Route route(Config c, List<RouteTable.Service> ss) {
        var r = new RouteTable.Route();
        r.name = c.getString("Name");
        r.host = c.getString("Hostname").toLowerCase(Locale.ROOT);
        r.prefix = c.getString("PathPrefix");
        r.kind = kind(c);
        r.timeoutUs = (long) (c.getDouble("TimeoutMs") * 1000);
        r.aimUs = (long) num(c, "TargetLatencyMs", 1000) * 1000;
        r.pauseUs = (long) num(c, "TargetGapMs", 0) * 1000;
        r.rank = num(c, "Priority", 1);
        r.tries = Math.max(1, num(c, "MaxAttempts", 1));
        r.resumable = c.hasPath("Resumable") && c.getBoolean("Resumable");
        r.affinity = c.hasPath("SessionAffinity") && c.getBoolean("SessionAffinity");
        if (c.hasPath("AllowedRegions")) {
            r.regions.addAll(c.getStringList("AllowedRegions"));
        }
        if (c.hasPath("TrafficSplit")) {
            c.getConfigList("TrafficSplit")
                    .forEach(
                            x ->
                                    r.shares.add(
                                            new RouteTable.Share(
                                                    x.getString("Backend"), num(x, "Weight", 0))));
        }
        if (r.shares.isEmpty()) {
            r.shares.add(new RouteTable.Share(c.getString("Backend"), 100));
        }
        for (var s : r.shares) {
            if (ss.stream().noneMatch(x -> x.name.equals(s.service))) {
                throw new ConfigException.BadValue(
                        c.origin(),
                        "Backend",
                        "route '"
                                + r.name
                                + "' names service '"
                                + s.service
                                + "', which is unknown");
            }
        }
        return r;
    }

    private static RouteTable.Kind kind(Config c) {
        var k = c.getString("RouteType");
        try {
            return RouteTable.Kind.valueOf(k.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new ConfigException.BadValue(
                    c.getValue("RouteType").origin(),
                    "RouteType",
                    "'" + k + "' is no kind of route");
        }
    }

    /** A reading of any JSON body of the replicas' and operators' calls. */
    public static Config body(String json) {
        return parse(json);
    }
}
