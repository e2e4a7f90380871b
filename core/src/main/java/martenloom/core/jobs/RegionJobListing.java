package martenloom.core.jobs;

import java.util.List;
import java.util.Optional;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobState;
import martenloom.core.chain.ChainMember;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.state.ClusterState;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;

/**
 * Lists the live jobs of a region for the edge that holds the role to run them. Times in the list
 * are relative to the clock of the jobs. Runs on the reactor thread.
 */
public final class RegionJobListing {
    private static final String ROLE_PREFIX = "jobs/";

    private final ChainMember chain;
    private final CompiledRoutes routes;

    /** Reads the committed state at each call. */
    public RegionJobListing(ChainMember chain, CompiledRoutes routes) {
        this.chain = chain;
        this.routes = routes;
    }

    /** Whether a region has jobs that wait or run. */
    public boolean hasLiveJobs(String region) {
        return !liveJobs(chain.committed(), region).isEmpty();
    }

    /** The record of the live jobs of a region, if this is the holder of the role to run them. */
    public Optional<byte[]> recordFor(String holder, String region, long nowUs) {
        var state = chain.committed();
        if (!state.leases().isHeldBy(ROLE_PREFIX + region, holder)) {
            return Optional.empty();
        }
        var clockUs = Math.max(state.jobs().clockUs(), chain.jobClockUs(nowUs));
        var table = routes.table();
        return Optional.of(
                new RecordWriter(RecordType.JOB_LIST)
                        .list(
                                liveJobs(state, region),
                                (out, job) -> write(out, job, clockUs, table))
                        .bytes());
    }

    private static List<Job> liveJobs(ClusterState state, String region) {
        return state.jobs().byId().values().stream()
                .filter(job -> job.state().isLive() && job.region().equals(region))
                .toList();
    }

    private static void write(RecordWriter out, Job job, long clockUs, RouteTable table) {
        out.text(job.id())
                .flag(job.state() == JobState.RUNNING)
                .i64(job.fencingToken())
                .i32(job.attempts())
                .i64(job.deadlineUs() - clockUs)
                .i64(job.deadlineUs() - job.submittedUs())
                .text(job.promptPrefix())
                .text(table.find(job.host(), job.path()).map(Route::name).orElse(""));
    }
}
