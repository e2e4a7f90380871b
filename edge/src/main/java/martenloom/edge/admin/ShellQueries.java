package martenloom.edge.admin;

import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.link.LinkTraffic;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.jobs.JobRunner;
import martenloom.edge.lease.RoleLeases;
import martenloom.edge.overload.OverloadReport;
import martenloom.edge.overload.ReductionState;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.scaling.RegionScaler;
import martenloom.routing.language.RoutingLanguage;

/**
 * Answers the queries of the shell about this edge as plain text. A query never changes what the
 * edge does; an unknown one is answered by the list of those that exist. Runs on the reactor
 * thread.
 */
public final class ShellQueries {
    private static final int LOG_LINES = 200;
    private static final int PREFIX_LINES = 200;

    private final RequestDispatcher dispatcher;
    private final JobRunner jobs;
    private final RegionScaler scaler;
    private final RoleLeases roles;
    private final Supplier<String> home;

    /**
     * Creates the answering side of the shell.
     *
     * @param home writes the line about the home and the state received from it
     */
    public ShellQueries(
            RequestDispatcher dispatcher,
            JobRunner jobs,
            RegionScaler scaler,
            RoleLeases roles,
            Supplier<String> home) {
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.scaler = scaler;
        this.roles = roles;
        this.home = home;
    }

    /** The answer to one query. */
    public String answer(String query) {
        var now = Clocks.nowUs();
        return switch (query) {
            case "counters" -> counters();
            case "overload" -> overload(now);
            case "leases" -> roles.text(now);
            case "replicas" -> replicas(now);
            case "configuration" -> RoutingLanguage.print(dispatcher.table());
            case "home" -> home.get();
            case "jobs" -> jobs.text();
            case "scaling" -> scaler.text(now);
            case "places" -> dispatcher.prefixOwners().text(PREFIX_LINES);
            case "traffic" -> LinkTraffic.report();
            case "log" -> RingLog.recent(LOG_LINES);
            default ->
                    "? counters overload leases replicas configuration home jobs scaling"
                            + " places traffic log\n";
        };
    }

    private String counters() {
        var counters = dispatcher.counters();
        return String.format(
                "requests %d served %d refused %d failed %d repeats %d spilled %d"
                        + " timeouts %d moved %d jobs %d in-hand %d connections %d"
                        + " edges %d\n",
                counters.requests(),
                counters.served(),
                counters.rejected(),
                counters.failed(),
                counters.retried(),
                dispatcher.spilled(),
                counters.timedOut(),
                counters.moved(),
                counters.jobs(),
                dispatcher.requestsInFlight(),
                dispatcher.clientConnections(),
                dispatcher.edgeCount());
    }

    private String overload(long now) {
        var lines = new StringBuilder();
        dispatcher
                .overloadReports()
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
        dispatcher.replicaTable().all().forEach(replica -> lines.append(replica(replica, now)));
        return lines.toString();
    }

    private static String replica(ReplicaEndpoint replica, long now) {
        return String.format(
                "%s %s %s in-hand %d others %d unread %d rate %.1f work %d us rtt %d us%s%s%s\n",
                replica.id(),
                replica.service(),
                replica.zone(),
                replica.load().ownInFlight(),
                replica.load().peerInFlight(now),
                replica.load().ownPendingPrefillTokens(),
                replica.latency().prefillTokensPerMs(),
                (long) replica.latency().serviceTimeUs(),
                (long) replica.latency().roundTripUs(),
                replica.isDraining() ? " draining" : "",
                replica.reachability().isSuspected(now) ? " suspect" : "",
                replica.isWarm(now) ? "" : " warming");
    }
}
