package martenloom.edge.scaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import martenloom.autoscaler.ReplicaCountController;
import martenloom.autoscaler.ReplicaCounts;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.common.load.LoadSummary;
import martenloom.common.log.RingLog;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;

/**
 * The scaler of a region, at the edge that holds its duty: feeds one machine for each model with
 * the sums of requests in flight, turns what it desires into who rests, and gives the order under
 * the fence of the grant. Without the duty there are no machines and no orders; a new holder begins
 * with what the core says is desired, or with what runs. As long as nothing was ever lowered,
 * desired is simply all that is registered.
 */
public final class ScaleRunner {
    /**
     * Carries an order out. The published way is eligibility: a replica that rests gets no new
     * prompts and drains.
     */
    @FunctionalInterface
    public interface OrderSink {
        void place(
                String key,
                long grant,
                int desired,
                Collection<String> resting,
                BiConsumer<Integer, String> reply);
    }

    private static final class Model {
        final ReplicaCountController machine;
        boolean telling;
        long settlesUs;
        int inFlight;
        String reply = "";

        Model(ReplicaCountController m) {
            machine = m;
        }

        /**
         * Between an order and the moment its effect is seen here, nothing further is concluded.
         */
        boolean busy(long now) {
            return telling || now < settlesUs;
        }
    }

    /** The count that stands for all that is registered, now and later. */
    public static final int ALL = -1;

    private static final long SETTLE_US = 3_000_000;

    private final RoutingView routing;
    private final ReplicaTable replicaTable;
    private final String region;
    private final ScalingSettings defaults;
    private final OrderSink sink;
    private final Map<String, Model> models = new TreeMap<>();
    private Map<String, ReplicaPlacement> placed = Map.of();
    private long grant;

    public ScaleRunner(
            RoutingView routing,
            ReplicaTable replicaTable,
            String region,
            ScalingSettings defaults,
            OrderSink sink) {
        this.routing = routing;
        this.replicaTable = replicaTable;
        this.region = region;
        this.defaults = defaults;
        this.sink = sink;
    }

    public void onPlaced(Map<String, ReplicaPlacement> p) {
        models.forEach(
                (k, m) -> {
                    if (!Optional.ofNullable(p.get(k)).equals(Optional.ofNullable(placed.get(k)))) {
                        m.settlesUs = 0;
                    }
                });
        placed = Map.copyOf(p);
    }

    /** Told often; a grant of 0 says that the duty is not held. */
    public void tick(long g, LoadSummary whole, boolean enough, long now) {
        if (g != grant) {
            grant = g;
            models.clear();
        }
        if (grant == 0 || routing.table().revision() == 0) {
            return;
        }
        for (var m : engineModels()) {
            tick(m, whole, enough, now);
        }
    }

    private Set<String> engineModels() {
        var l = new TreeSet<String>();
        routing.table().services().values().stream()
                .filter(s -> s.inferenceEngine())
                .forEach(s -> l.add(s.model()));
        return l;
    }

    private ScalingSettings settings(String model) {
        return routing.table().scaling().getOrDefault(model, defaults);
    }

    private List<ReplicaEndpoint> registered(String model) {
        var l = new ArrayList<ReplicaEndpoint>();
        for (var s : replicaTable.all()) {
            var svc = routing.table().services().get(s.service());
            if (svc != null
                    && svc.inferenceEngine()
                    && svc.model().equals(model)
                    && s.region().equals(region)
                    && !s.isDraining()
                    && !s.isDeregistered()
                    && !s.isUnresponsive()
                    && !routing.evacuated().contains(s.zone())) {
                l.add(s);
            }
        }
        return l;
    }

    private void tick(String model, LoadSummary whole, boolean enough, long now) {
        var key = region + "/" + model;
        var held = Optional.ofNullable(placed.get(key));
        var all = registered(model);
        if (all.isEmpty() || held.isPresent() && held.get().pinned()) {
            models.remove(key);
            return;
        }
        var running = (int) all.stream().filter(s -> !s.isUnloaded()).count();
        var m =
                models.computeIfAbsent(
                        key,
                        k ->
                                new Model(
                                        new ReplicaCountController(
                                                settings(model),
                                                held.map(ReplicaPlacement::desired)
                                                        .orElse(all.size()),
                                                now)));
        m.machine.updateSettings(settings(model));
        if (held.isEmpty() && !m.busy(now)) {
            m.machine.trackRegistered(all.size());
        }
        var fleet =
                new ReplicaCounts(
                        all.size(),
                        running,
                        all.stream().mapToInt(s -> s.capacity()).max().orElse(1));
        m.inFlight = whole.inFlightByModel().getOrDefault(key, 0);
        if (m.machine.sample(m.inFlight, enough, now)) {
            m.machine.decide(fleet, now);
        }
        order(key, m, held, all, now);
    }

    /** Says who rests when that differs from what the core holds; one order at a time. */
    private void order(
            String key,
            Model m,
            Optional<ReplicaPlacement> held,
            List<ReplicaEndpoint> all,
            long now) {
        var d = m.machine.desired();
        if (m.busy(now) || held.isEmpty() && d >= all.size()) {
            return;
        }
        var rest = resting(all, d, key);
        var whole = d >= all.size();
        if (!whole
                && held.isPresent()
                && held.get().desired() == d
                && held.get().resting().equals(rest)) {
            return;
        }
        m.telling = true;
        var inForce = held.map(ReplicaPlacement::desired).orElse(all.size());
        sink.place(
                key,
                grant,
                whole ? ALL : d,
                rest,
                (s, t) -> {
                    m.telling = false;
                    m.settlesUs = s == 200 ? Clocks.nowUs() + SETTLE_US : 0;
                    m.reply = s + (t.isEmpty() ? "" : " " + t);
                    if (s == 409) {
                        m.machine.rejected(inForce, t, now);
                        RingLog.info("scaling of " + key + " to " + d + " is refused: " + t);
                    } else if (s == 200) {
                        RingLog.debug("scaling of " + key + ": " + d + " desired, resting " + rest);
                    }
                });
    }

    /**
     * Those that rest stay at rest; others join by the least kept prefixes and load, or the richest
     * come back.
     */
    private Set<String> resting(List<ReplicaEndpoint> all, int desired, String key) {
        var least = homeBinds(key) ? 1 : 0;
        var n = Math.max(0, all.size() - Math.max(least, desired));
        var l = new ArrayList<>(all);
        l.sort(
                Comparator.comparing((ReplicaEndpoint s) -> !s.isUnloaded())
                        .thenComparingLong(
                                (ReplicaEndpoint replica) -> replica.prefixCache().totalTokens())
                        .thenComparingInt(s -> s.load().ownInFlight())
                        .thenComparing(s -> s.id()));
        var r = new TreeSet<String>();
        l.stream().limit(n).forEach(s -> r.add(s.id()));
        return r;
    }

    /** Whether some route of this model may be served in this region only. */
    private boolean homeBinds(String key) {
        var t = routing.table();
        return t.routes().stream()
                .anyMatch(
                        r ->
                                r.allowedRegions().size() == 1
                                        && r.allows(region)
                                        && r.trafficSplit().stream()
                                                .anyMatch(
                                                        x ->
                                                                Optional.ofNullable(
                                                                                t.services()
                                                                                        .get(
                                                                                                x
                                                                                                        .service()))
                                                                        .filter(
                                                                                s ->
                                                                                        s
                                                                                                        .inferenceEngine()
                                                                                                && key
                                                                                                        .equals(
                                                                                                                region
                                                                                                                        + "/"
                                                                                                                        + s
                                                                                                                                .model()))
                                                                        .isPresent()));
    }

    public String text(long now) {
        var b = new StringBuilder();
        placed.forEach(
                (k, p) -> {
                    if (!models.containsKey(k)) {
                        b.append(
                                String.format(
                                        "%s desired %d%s resting %d\n",
                                        k,
                                        p.desired(),
                                        p.pinned() ? " unloaded by the operator" : "",
                                        p.resting().size()));
                    }
                });
        models.forEach(
                (k, m) -> {
                    var all = registered(k.substring(region.length() + 1));
                    var x = m.machine;
                    b.append(
                            String.format(
                                    Locale.ROOT,
                                    "%s in-flight %d average %.2f wanted %d desired %d running %d"
                                        + " registered %d phase %s (%s) delay-left %d ms grant %d"
                                        + " last-order %s\n",
                                    k,
                                    m.inFlight,
                                    x.average(),
                                    x.wanted(),
                                    x.desired(),
                                    all.stream().filter(s -> !s.isUnloaded()).count(),
                                    all.size(),
                                    x.phase(),
                                    x.reason(),
                                    x.delayLeftUs(now) / 1000,
                                    grant,
                                    m.reply.isEmpty() ? "none" : m.reply));
                });
        return b.toString();
    }
}
