package martenloom.routing.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.autoscaler.ScaleSettings;

/**
 * The immutable table that a configuration compiles to: routes found by host and longest prefix,
 * services, and the limits on clients. A table is replaced whole and never changed.
 */
public final class RouteTable {
    public static final RouteTable EMPTY =
            new RouteTable(0, Limits.DEFAULT, List.of(), List.of(), Map.of());

    public final long revision;
    public final Limits limits;
    public final Map<String, Service> services;
    public final List<Route> routes;

    /** What is set of the scaling of models; a model that is not named has the defaults. */
    public final Map<String, ScaleSettings> scaling;

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /** How often a request of a route may run, and how it is answered. */
    public enum Kind {
        IDEMPOTENT,
        NON_IDEMPOTENT,
        STREAMING
    }

    /** Bounds on what a client may send and how long it may take, from the configuration. */
    public static final class Limits {
        public static final Limits DEFAULT = new Limits(16384, 4 << 20, 3000, 15000);
        public final int headBytes;
        public final int bodyBytes;
        public final int headMs;
        public final int idleMs;

        public Limits(int head, int body, int headMs, int idleMs) {
            headBytes = head;
            bodyBytes = body;
            this.headMs = headMs;
            this.idleMs = idleMs;
        }
    }

    /**
     * A service as the configuration describes it: its health path, its connections and its engine.
     */
    public static final class Service {
        public String name = "";
        public String healthPath = "/";
        public int maxConnections = 64;
        public long warmUs;
        public double warmPerS;
        public boolean engine;
        public int capacity;
        public long cacheTokens;
        public int stepSize = 1;
        public String model = "";

        /** The sends that a cold replica may get in any one second, from all edges together. */
        public int coldPerS(double overage, double slack) {
            return (int) Math.floor(warmPerS * overage + slack);
        }
    }

    /** One service of a route and its weight. */
    public static final class Share {
        public final String service;
        public final int weight;

        public Share(String s, int w) {
            service = s;
            weight = w;
        }
    }

    /** One route as the configuration describes it; times are whole microseconds. */
    public static final class Route {
        public String name = "";
        public String host = "";
        public String prefix = "/";
        public Kind kind = Kind.NON_IDEMPOTENT;
        public long timeoutUs;
        public long aimUs;
        public long pauseUs;
        public int rank = 1;
        public int tries = 1;
        public boolean resumable;
        public boolean affinity;
        public final List<Share> shares = new ArrayList<>();
        public final Set<String> regions = new LinkedHashSet<>();

        public boolean repeatable() {
            return kind == Kind.IDEMPOTENT || kind == Kind.STREAMING && resumable;
        }

        public boolean allows(String region) {
            return regions.isEmpty() || regions.contains(region);
        }

        /** Picks a service by weight; the ticket is any number, spread evenly by the caller. */
        public String service(int ticket) {
            var sum = 0;
            for (var s : shares) {
                sum += s.weight;
            }
            var t = sum < 1 ? 0 : Math.floorMod(ticket, sum);
            for (var s : shares) {
                t -= s.weight;
                if (t < 0) {
                    return s.service;
                }
            }
            return shares.isEmpty() ? "" : shares.get(0).service;
        }
    }

    public RouteTable(
            long rev,
            Limits l,
            Collection<Service> ss,
            Collection<Route> rs,
            Map<String, ScaleSettings> sc) {
        revision = rev;
        limits = l;
        var m = new LinkedHashMap<String, Service>();
        ss.forEach(s -> m.put(s.name, s));
        services = Collections.unmodifiableMap(m);
        routes = List.copyOf(rs);
        scaling = Map.copyOf(sc);
        routes.forEach(r -> byHost.computeIfAbsent(r.host, h -> new HashMap<>()).put(r.prefix, r));
    }

    public Optional<Route> find(String host, String path) {
        var m = byHost.getOrDefault(host, Map.of());
        var i = path.length();
        while (!m.isEmpty() && i > 0) {
            i = path.lastIndexOf('/', i - 1);
            if (i < 0) {
                break;
            }
            var r = m.get(path.substring(0, i + 1));
            if (r != null) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }
}
