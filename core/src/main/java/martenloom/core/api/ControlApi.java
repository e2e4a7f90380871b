package martenloom.core.api;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import martenloom.common.callers.HttpCallers;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.FinishEvacuation;
import martenloom.core.state.Command.GetJob;
import martenloom.core.state.Command.ListJobs;
import martenloom.core.state.Command.Placing;
import martenloom.core.state.Command.ReadConfiguration;
import martenloom.core.state.Command.ReplaceConfiguration;
import martenloom.core.state.Command.StartEvacuation;
import martenloom.core.state.Command.UpdateConfiguration;

/**
 * The control API for the operator, for replicas, and for clients that look up edges, submit jobs
 * or keep tallies. Dispatches each call by its method and the segments of its path. Runs on the
 * reactor thread.
 */
public final class ControlApi implements AsyncServlet {
    /** The segments of a path after the empty one before the first slash. */
    private static final int FIRST = 1;

    private static final int SECOND = 2;
    private static final int THIRD = 3;
    private static final int FOURTH = 4;

    private final RequestBodies bodies;
    private final CommandCalls commands;
    private final OperatorCalls operator;
    private final ReplicaCalls replicas;
    private final JobCalls jobs;
    private final LookupCalls lookup;
    private final TallyCalls tallies;

    /** Serves nothing by itself, see {@link ControlServer}. */
    public ControlApi(ControlServices daemon) {
        bodies = new RequestBodies(daemon.loop(), HttpCallers::callerOf);
        commands = new CommandCalls(daemon.loop(), daemon.chain(), daemon.forwarder());
        operator = new OperatorCalls(daemon.settings(), daemon.routes(), commands, bodies);
        replicas =
                new ReplicaCalls(
                        daemon.settings(),
                        daemon.registry(),
                        daemon.ends(),
                        daemon.acceptsHeartbeats());
        jobs = new JobCalls(daemon.settings(), daemon.routes(), daemon.regions(), commands);
        lookup = new LookupCalls(daemon.settings(), daemon.registry(), daemon.routes());
        tallies = new TallyCalls(daemon.tallies());
    }

    /** Whether a caller waits for an order that was not submitted yet. */
    public boolean hasCallers() {
        return commands.hasCallers();
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        var segments = request.getPath().split("/");
        return switch (request.getMethod() + " " + pattern(segments)) {
            case "GET lookup" -> Promise.of(lookup.lookup(request));
            case "POST configuration/replace" ->
                    operator.changeConfiguration(request, ReplaceConfiguration::new);
            case "POST configuration/update" ->
                    operator.changeConfiguration(request, UpdateConfiguration::new);
            case "GET configuration/describe" -> commands.submit(new ReadConfiguration());
            case "POST evacuations/*/start" ->
                    operator.evacuate(request, segments[SECOND], StartEvacuation::new);
            case "POST evacuations/*/finish" ->
                    operator.evacuate(request, segments[SECOND], FinishEvacuation::new);
            case "POST placements/*/*/unload" ->
                    operator.place(request, segments[SECOND], segments[THIRD], Placing.UNLOAD);
            case "POST placements/*/*/load" ->
                    operator.place(request, segments[SECOND], segments[THIRD], Placing.LOAD);
            case "POST instances/*/heartbeat" ->
                    bodies.read(request, json -> replicas.heartbeat(segments[SECOND], json));
            case "POST instances/*/deregister" -> replicas.deregister(segments[SECOND]);
            case "POST jobs/*/submit" ->
                    bodies.read(request, json -> jobs.submitJob(segments[SECOND], json));
            case "GET jobs" -> commands.submit(new ListJobs());
            case "GET jobs/*/describe" -> jobs.submit(segments[SECOND], GetJob::new);
            case "GET jobs/*/result" -> jobs.result(segments[SECOND]);
            case "POST jobs/*/confirm" -> jobs.submit(segments[SECOND], ConfirmJobResult::new);
            case "POST jobs/*/cancel" -> jobs.submit(segments[SECOND], CancelJob::new);
            case "POST tallies/*/update" ->
                    bodies.read(request, json -> tallies.update(segments[SECOND], json));
            case "GET tallies/*/describe" -> tallies.describe(segments[SECOND]);
            default ->
                    ApiResponses.notFound(
                            "no such call: " + request.getMethod() + " " + request.getPath());
        };
    }

    /** The path with {@code *} for each segment that names something. */
    private static String pattern(String[] segments) {
        if (segments.length > FOURTH) {
            return segments[FIRST] + "/*/*/" + segments[FOURTH];
        }
        if (segments.length > THIRD) {
            return segments[FIRST] + "/*/" + segments[THIRD];
        }
        if (segments.length > SECOND) {
            return segments[FIRST] + "/" + segments[SECOND];
        }
        return segments.length > FIRST ? segments[FIRST] : "";
    }
}
