package martenloom.edge;

import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.link.LinkTraffic;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.jobs.JobRunner;
import martenloom.edge.overload.OverloadReport;
import martenloom.edge.overload.ReductionState;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.scaling.ScaleRunner;
import martenloom.routing.language.RoutingLanguage;

/**
 * Answers the queries of the shell about this edge as plain text. A query never changes what the
 * edge does; an unknown one is answered by the list of those that exist. Runs on the thread of the
 * reactor.
 */
final class ShellQueries {
    private static final int LOG_LINES = 200;
    private static final int PLACE_LINES = 200;

    private final RequestDispatcher dispatcher;
    private final JobRunner jobs;
    private final ScaleRunner scaler;
    private final RoleLeaseClient duties;
    private final Supplier<String> home;

    /**
     * Creates the answering side of the shell.
     *
     * @param home writes the line about the home and the state received from it
     */
    ShellQueries(
            RequestDispatcher dispatcher,
            JobRunner jobs,
            ScaleRunner scaler,
            RoleLeaseClient duties,
            Supplier<String> home) {
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.scaler = scaler;
        this.duties = duties;
        this.home = home;
    }

    /** The answer to one query. */
    String answer(String query) {
        var now = Clocks.nowUs();
        return switch (query) {
            case "counters" -> counters();
            case "overload" -> overload(now);
            case "leases" -> duties.text(now);
            case "replicas" -> replicas(now);
            case "configuration" -> RoutingLanguage.print(dispatcher.table());
            case "home" -> home.get();
            case "jobs" -> jobs.text();
            case "scaling" -> scaler.text(now);
            case "places" -> dispatcher.places.text(PLACE_LINES);
            case "traffic" -> LinkTraffic.report();
            case "log" -> RingLog.recent(LOG_LINES);
            default ->
                    "? counters overload leases replicas configuration home jobs scaling"
                            + " places traffic log\n";
        };
    }

    private String counters() {
        var counters = dispatcher.counters;
        return String.format(
                "requests %d served %d refused %d failed %d repeats %d spilled %d"
                        + " timeouts %d moved %d jobs %d in-hand %d connections %d"
                        + " edges %d\n",
                counters.requests,
                counters.served,
                counters.refused,
                counters.failed,
                counters.repeats,
                dispatcher.spilled(),
                counters.timeouts,
                counters.moved,
                counters.jobs,
                dispatcher.inHand(),
                dispatcher.connections(),
                dispatcher.edges());
    }

    private String overload(long now) {
        var lines = new StringBuilder();
        dispatcher
                .reports
                .states()
                .forEach(
                        (key, state) -> {
                            state.advance(now);
                            lines.append(overloadState(key, state));
                            state.report()
                                    .ifPresent(
                                            report ->
                                                    lines.append(
                                                            overloadReport(
                                                                    report,
                                                                    state.validUntilUs() - now)));
                            lines.append('\n');
                        });
        return lines.toString();
    }

    private static String overloadState(String key, ReductionState state) {
        return String.format(
                "%s %s share %.2f considered %d selected %d spilled %d held %d refused %d"
                        + " stale %d",
                key,
                state.phase(),
                state.share(),
                state.considered(),
                state.selected(),
                state.spilled(),
                state.queued(),
                state.rejected(),
                state.stale());
    }

    private static String overloadReport(OverloadReport report, long validUs) {
        return String.format(
                " reporter %s sequence %d.%d valid %d ms algorithm %s percent %d",
                report.reporter(),
                report.sequence().fencingToken(),
                report.sequence().counter(),
                Math.max(0, validUs) / 1000,
                report.algorithm(),
                report.percent());
    }

    private String replicas(long now) {
        var lines = new StringBuilder();
        dispatcher.replicaTable.all().forEach(slot -> lines.append(replica(slot, now)));
        return lines.toString();
    }

    private static String replica(ReplicaEndpoint slot, long now) {
        return String.format(
                "%s %s %s in-hand %d others %d unread %d rate %.1f work %d us rtt %d us%s%s\n",
                slot.id(),
                slot.service(),
                slot.zone(),
                slot.load().ownInFlight(),
                slot.load().peerInFlight(now),
                slot.load().ownPendingPrefillTokens(),
                slot.latency().prefillTokensPerMs(),
                (long) slot.latency().serviceTimeUs(),
                (long) slot.latency().roundTripUs(),
                slot.isDraining() ? " draining" : "",
                slot.reachability().isSuspected(now) ? " suspect" : "");
    }
}
