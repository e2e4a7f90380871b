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
import martenloom.routing.route.RouteTable;

/**
 * The live jobs of a region as its edges are told of them. Only the holder of the duty to run them
 * is given the list; times in it are relative to the clock of the jobs. Runs on the reactor thread.
 */
public final class RegionJobListing {
    private final ChainMember chain;
    private final CompiledRoutes routes;

    public RegionJobListing(ChainMember chain, CompiledRoutes routes) {
        this.chain = chain;
        this.routes = routes;
    }

    public boolean anyLive(String region) {
        return !live(chain.committed(), region).isEmpty();
    }

    /** The record of the live jobs of a region, when this is the holder of that duty. */
    public Optional<byte[]> recordFor(String holder, String region, long now) {
        var state = chain.committed();
        var duty = state.leases().find("jobs/" + region);
        if (duty.filter(current -> current.holder().equals(holder)).isEmpty()) {
            return Optional.empty();
        }
        var clockUs = Math.max(state.jobs().clockUs(), chain.jobClockUs(now));
        var table = routes.of(state);
        return Optional.of(
                new RecordWriter(RecordType.JOB_LIST)
                        .list(live(state, region), (out, job) -> writeJob(out, job, clockUs, table))
                        .bytes());
    }

    private static List<Job> live(ClusterState state, String region) {
        return state.jobs().byId().values().stream()
                .filter(job -> job.state().isLive() && job.region().equals(region))
                .toList();
    }

    private static void writeJob(RecordWriter out, Job job, long clockUs, RouteTable table) {
        out.text(job.id())
                .flag(job.state() == JobState.RUNNING)
                .i64(job.fencingToken())
                .i32(job.attempts())
                .i64(job.deadlineUs() - clockUs)
                .i64(job.deadlineUs() - job.submittedUs())
                .text(job.promptPrefix())
                .text(table.find(job.host(), job.path()).map(route -> route.name()).orElse(""));
    }
}
