package martenloom.core.api;

import com.typesafe.config.ConfigException;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Base64;
import java.util.Optional;
import java.util.function.Function;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MartenloomException;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.settings.Settings;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.peer.PeerRegions;
import martenloom.core.state.Command;
import martenloom.core.state.Command.ReadJobResult;
import martenloom.core.state.Command.SubmitJob;
import martenloom.core.state.JobResult;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;

/** The calls of clients about deferred jobs. Runs on the reactor thread. */
final class JobCalls {
    private static final String ID_FORMAT = "[A-Za-z0-9._-]{1,64}";
    private static final long MIN_DEADLINE_US = 1_000_000;
    private static final long US_PER_MS = 1_000;

    private final Settings settings;
    private final CompiledRoutes routes;
    private final PeerRegions regions;
    private final CommandCalls commands;

    JobCalls(Settings settings, CompiledRoutes routes, PeerRegions regions, CommandCalls commands) {
        this.settings = settings;
        this.routes = routes;
        this.regions = regions;
        this.commands = commands;
    }

    /**
     * A command about one job.
     *
     * @param segment the id of the job as the path names it
     */
    Promise<HttpResponse> submit(String segment, Function<String, Command> command) {
        return commands.submit(command.apply(ApiRequests.decode(segment)));
    }

    /**
     * Reads the result of a job.
     *
     * @param segment the id of the job as the path names it
     */
    Promise<HttpResponse> result(String segment) {
        return commands.submit(
                new ReadJobResult(ApiRequests.decode(segment)),
                text -> ApiResponses.content(JobResult.decode(text)));
    }

    /**
     * Submits a new job.
     *
     * @param segment the id of the job as the path names it
     */
    Promise<HttpResponse> submitJob(String segment, String json) {
        var id = ApiRequests.decode(segment);
        if (!id.matches(ID_FORMAT)) {
            return ApiResponses.badRequest(
                    "Id: 1 to 64 letters, digits, dots, dashes or underlines");
        }
        Job job;
        try {
            job = JobSubmissionReader.read(id, json);
        } catch (MartenloomException | ConfigException e) {
            return ApiResponses.badRequest("job: " + ApiRequests.reason(e));
        }
        var route = routes.table().find(job.host(), pathWithoutQuery(job));
        if (route.isEmpty()) {
            return ApiResponses.refused(
                    commands.unknownStatus(),
                    "Path: no route for host '" + job.host() + "' and path '" + job.path() + "'");
        }
        return submit(job, route.get());
    }

    private static String pathWithoutQuery(Job job) {
        var query = job.path().indexOf('?');
        return query < 0 ? job.path() : job.path().substring(0, query);
    }

    private Promise<HttpResponse> submit(Job job, Route route) {
        var contradiction = contradiction(job, route);
        if (contradiction.isPresent()) {
            return ApiResponses.refused(HttpStatus.UNPROCESSABLE_CONTENT, contradiction.get());
        }
        job.setRetriable(route.retriable());
        job.setResumable(route.kind() == RouteKind.STREAMING && route.resumable());
        job.setRegion(job.region().isEmpty() ? settings.region() : job.region());
        if (!settings.regionByZone().containsValue(job.region()) || !route.allows(job.region())) {
            return ApiResponses.badRequest(
                    "Region: '" + job.region() + "' is not known or not allowed");
        }
        var out = new RecordWriter();
        JobCodec.write(job, out);
        return commands.submit(
                new SubmitJob(job.id(), Base64.getEncoder().encodeToString(out.bytes())));
    }

    /** Why a job that is valid by itself cannot be run or kept, if so. */
    private Optional<String> contradiction(Job job, Route route) {
        if (job.deadlineUs() < MIN_DEADLINE_US) {
            return Optional.of(
                    "DueMs: "
                            + job.deadlineUs() / US_PER_MS
                            + " cannot be met, "
                            + MIN_DEADLINE_US / US_PER_MS
                            + " is the least");
        }
        if (route.allowedRegions().isEmpty()) {
            return Optional.empty();
        }
        var outside = regions.rosterRegionOutside(route.allowedRegions());
        return outside.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        "AllowedRegions of route '"
                                + route.name()
                                + "' leave out region '"
                                + outside
                                + "', where the core would keep the job");
    }
}
