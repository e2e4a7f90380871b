package martenloom.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.overload.Overload;

/**
 * The reporting half of the overload reports, for the duties that this edge holds: turns what the
 * edges see of the region's replicas into a pressure, asks the reporter of each region and model
 * what to say, and sends it when it says something new or must be said again. Without a duty there
 * is no reporter, so a successor's counters begin anew.
 */
final class OverloadReporting {
    private static final long REPORT_AGAIN_US = 700_000;
    private static final int REPORT_STEP = 10;

    private final Settings settings;
    private final RequestDispatcher dispatcher;
    private final Consumer<Overload.Report> tell;
    private final Map<String, Overload.Reporter> reporters = new TreeMap<>();

    OverloadReporting(Settings p, RequestDispatcher f, Consumer<Overload.Report> tell) {
        settings = p;
        dispatcher = f;
        this.tell = tell;
    }

    /** Told the duties held now, by key, with their grants. */
    void tick(Map<String, Long> held, long now) {
        reporters.keySet().retainAll(held.keySet());
        held.forEach(
                (key, grant) -> {
                    var r = reporters.computeIfAbsent(key, k -> new Overload.Reporter());
                    r.granted(grant);
                    var i = key.indexOf('/');
                    r.observe(
                                    key.substring(0, i),
                                    key.substring(i + 1),
                                    settings.ipAddress(),
                                    pressure(key.substring(i + 1), now))
                            .filter(x -> due(x, now))
                            .ifPresent(tell);
                });
    }

    private record Told(int percent, long atUs) {}

    private final Map<String, Told> toldReports = new HashMap<>();

    /**
     * A report goes out when it says something else by enough, ends, or must be said again well
     * within its validity.
     */
    private boolean due(Overload.Report r, long now) {
        var t = toldReports.getOrDefault(r.key(), new Told(0, 0));
        if (r.percent() > 0
                && Math.abs(r.percent() - t.percent) < REPORT_STEP
                && now - t.atUs < REPORT_AGAIN_US) {
            return false;
        }
        toldReports.put(r.key(), new Told(r.percent(), now));
        return true;
    }

    /**
     * Predicted time to a first token of a new, cold prompt of usual size at this region's
     * replicas, against the aim.
     */
    double pressure(String model, long now) {
        var aim = Long.MAX_VALUE;
        var t = dispatcher.table();
        for (var r : t.routes()) {
            var s =
                    r.trafficSplit().isEmpty()
                            ? null
                            : t.services().get(r.trafficSplit().get(0).service());
            if (s != null
                    && s.inferenceEngine()
                    && s.model().equals(model)
                    && r.latencyTargetUs() > 0) {
                aim = Math.min(aim, r.latencyTargetUs());
            }
        }
        var sum = 0.0;
        var n = 0;
        var known = 0;
        for (var s : dispatcher.replicaTable.all()) {
            var svc = t.services().get(s.row.service());
            if (svc == null
                    || !svc.inferenceEngine()
                    || !svc.model().equals(model)
                    || !s.region.equals(settings.region())) {
                continue;
            }
            known++;
            if (s.row.ended()
                    || s.row.draining()
                    || s.row.unreachable()
                    || s.resting
                    || dispatcher.evacuated().contains(s.row.zone())) {
                continue;
            }
            var in = s.mine + s.othersInHand(now);
            var cap = Math.max(1, s.row.capacity());
            var us =
                    20_000
                            + (s.unread + s.othersUnread(now)) / s.rate * 1000
                            + in * 700.0
                            + (in > cap ? (in - cap) * 15_000.0 : 0);
            sum += now < s.suspectUntilUs ? aim : us;
            n++;
        }
        return known == 0 ? 0 : n == 0 ? 4 : sum / n / aim;
    }
}
