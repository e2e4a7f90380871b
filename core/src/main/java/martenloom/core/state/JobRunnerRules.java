package martenloom.core.state;

import java.util.Base64;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobState;
import martenloom.core.state.Command.AppendJobOutput;
import martenloom.core.state.Command.FinishJob;
import martenloom.core.state.Command.JobCompletion;
import martenloom.core.state.Command.JobFailure;
import martenloom.core.state.Command.JobOutput;
import martenloom.core.state.Command.JobRunnerCommand;
import martenloom.core.state.Command.ReturnJob;
import martenloom.core.state.Command.RunFailure;
import martenloom.core.state.Command.StartJob;

/**
 * What the edge may do that runs the jobs of a region: the rules of one moment of a table. A report
 * under another lease than the one in force, or about another run than the current one, is refused:
 * it comes from a former holder, or is a copy that comes late.
 */
final class JobRunnerRules {
    /** A job that failed or may have run is not run more often than this. */
    private static final int MAX_RUNS = 8;

    private final JobTable table;
    private final long atUs;

    /**
     * @param atUs the clock of the jobs as the head has stamped it
     */
    JobRunnerRules(JobTable table, long atUs) {
        this.table = table;
        this.atUs = atUs;
    }

    /** Carries out a report about a job that is known. */
    CommandResult<JobTable> decide(JobRunnerCommand report, Job job, LeaseTable leases) {
        if (!leases.isInForce(job.role(), report.fencingToken())) {
            return CommandResult.conflict(
                    "fence " + report.fencingToken() + " is not the grant in force");
        }
        if (report instanceof StartJob start) {
            return start(start, job);
        }
        if (job.state() != JobState.RUNNING
                || job.fencingToken() != report.fencingToken()
                || job.attempts() != report.run()) {
            return CommandResult.conflict(
                    JobReports.standing(job)
                            + " under fence "
                            + job.fencingToken()
                            + ", run "
                            + job.attempts());
        }
        if (report instanceof AppendJobOutput append) {
            return append(append.output(), job);
        } else if (report instanceof FinishJob finish) {
            return finish(finish.completion(), job);
        }
        return giveBack(((ReturnJob) report).failure(), job);
    }

    /**
     * Starts the run after the one that the holder knew of: a copy that comes after that run was
     * given back starts nothing.
     */
    private CommandResult<JobTable> start(StartJob start, Job job) {
        if (job.attempts() != start.run()) {
            return CommandResult.conflict(
                    "job '"
                            + job.id()
                            + "' has had "
                            + job.attempts()
                            + " runs, not "
                            + start.run());
        }
        if (job.state() == JobState.RUNNING && job.fencingToken() < start.fencingToken()) {
            if (!job.retriable()) {
                var reason = "its runner was lost and it may have run";
                return end(job, JobState.UNCERTAIN, reason);
            }
        } else if (job.state() != JobState.WAITING) {
            return CommandResult.conflict(JobReports.standing(job));
        }
        var running = job.copy();
        running.setState(JobState.RUNNING);
        running.setFencingToken(start.fencingToken());
        running.setAttempts(running.attempts() + 1);
        running.setReason("running at " + start.replica());
        var encoded = new RecordWriter();
        JobCodec.write(running, encoded);
        return table.with(running, atUs, Base64.getEncoder().encodeToString(encoded.bytes()));
    }

    /** Saves a part of the output that follows what is saved; the last part again is no error. */
    private CommandResult<JobTable> append(JobOutput output, Job job) {
        var saved = job.checkpoint().length;
        var isCopy =
                output.offset() + output.content().length == saved
                        && job.lastEventId().equals(output.lastEventId());
        if (isCopy) {
            return CommandResult.unchanged("");
        }
        if (output.offset() != saved) {
            return CommandResult.conflict(savedBytes(job) + ", not " + output.offset());
        }
        var longer = job.copy();
        longer.setLastEventId(output.lastEventId());
        longer.setCheckpoint(job.checkpointFollowedBy(output.content()));
        return withOutput(longer, job);
    }

    private CommandResult<JobTable> finish(JobCompletion completion, Job job) {
        if (completion.offset() != job.checkpoint().length) {
            return CommandResult.conflict(savedBytes(job));
        }
        var done = table.ended(job, JobState.DONE, "", atUs);
        done.setStatus(completion.status());
        done.setMediaType(completion.mediaType());
        done.setResult(job.checkpointFollowedBy(completion.content()));
        done.setCheckpoint(new byte[0]);
        done.setBody(new byte[0]);
        return withOutput(done, job);
    }

    /** The job with its longer output, or the job before it failed if that is too long. */
    private CommandResult<JobTable> withOutput(Job longer, Job before) {
        var beyondBytes = JobTable.reservedBytes(longer) - JobTable.reservedBytes(before);
        var findsRoom =
                beyondBytes <= 0 || table.reservedBytes() + beyondBytes <= JobTable.MAX_TABLE_BYTES;
        return longer.sizeBytes() > JobTable.MAX_JOB_AND_OUTPUT_BYTES || !findsRoom
                ? end(before, JobState.FAILED, "the result is over the limit")
                : table.with(longer, atUs, "");
    }

    private CommandResult<JobTable> giveBack(JobFailure failure, Job job) {
        if (failure.kind() == RunFailure.MAY_HAVE_RUN && !job.retriable()) {
            return end(job, JobState.UNCERTAIN, failure.reason());
        }
        var failed = failure.kind() == RunFailure.RAN_AND_FAILED && !job.retriable();
        if (failed || failure.kind() != RunFailure.NOT_RUN && job.attempts() >= MAX_RUNS) {
            return end(job, JobState.FAILED, failure.reason());
        }
        var waiting = job.copy();
        waiting.setState(JobState.WAITING);
        waiting.setReason(failure.reason());
        return table.with(waiting, atUs, "");
    }

    private CommandResult<JobTable> end(Job job, JobState state, String reason) {
        return table.with(table.ended(job, state, reason, atUs), atUs, "");
    }

    private static String savedBytes(Job job) {
        return "job '" + job.id() + "' has " + job.checkpoint().length + " bytes kept";
    }
}
