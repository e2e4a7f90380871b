package martenloom.edge.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import martenloom.common.settings.Settings;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;

/**
 * Makes the overload reports of the roles that this edge holds, and publishes each when it says
 * something new or must be repeated to stay in force. Without the role lease there is no reporter,
 * so a successor's counters begin anew. Runs on the reactor thread.
 */
public final class OverloadReportPublisher {
    private static final long REPEAT_US = 700_000;

    /** A change by less is not published before the report must be repeated. */
    private static final int MIN_CHANGE_PERCENT = 10;

    private record Published(int percent, long atUs) {}

    private static final Published NEVER = new Published(0, 0);

    private final Settings settings;
    private final PressureEstimator estimator;
    private final Consumer<OverloadReport> publish;
    private final Map<String, OverloadReporter> reporters = new TreeMap<>();
    private final Map<String, Published> lastPublished = new HashMap<>();

    public OverloadReportPublisher(
            Settings settings,
            RoutingView routing,
            ReplicaTable replicaTable,
            Consumer<OverloadReport> publish) {
        this.settings = settings;
        estimator = new PressureEstimator(settings, routing, replicaTable);
        this.publish = publish;
    }

    /**
     * Makes the reports that are due.
     *
     * @param heldRoles the reporting roles held now, each a region and model, with their fencing
     *     tokens
     */
    public void tick(Map<String, Long> heldRoles, long now) {
        reporters.keySet().retainAll(heldRoles.keySet());
        heldRoles.forEach((key, token) -> report(key, token, now));
    }

    private void report(String key, long fencingToken, long now) {
        var slash = key.indexOf('/');
        var model = key.substring(slash + 1);
        var reporter =
                reporters.computeIfAbsent(
                        key,
                        absent ->
                                new OverloadReporter(
                                        key.substring(0, slash), model, settings.ipAddress()));
        reporter.onLease(fencingToken);
        reporter.observe(estimator.pressure(model, now))
                .filter(report -> isDue(report, now))
                .ifPresent(publish);
    }

    /**
     * Whether a report says something else by enough, ends the condition, or must be repeated well
     * within its validity.
     */
    private boolean isDue(OverloadReport report, long now) {
        var last = lastPublished.getOrDefault(report.key(), NEVER);
        if (report.percent() > 0
                && Math.abs(report.percent() - last.percent) < MIN_CHANGE_PERCENT
                && now - last.atUs < REPEAT_US) {
            return false;
        }
        lastPublished.put(report.key(), new Published(report.percent(), now));
        return true;
    }
}
