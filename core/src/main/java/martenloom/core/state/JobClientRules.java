package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobJson;
import martenloom.common.jobs.JobState;
import martenloom.core.state.Command.CancelJob;
import martenloom.core.state.Command.ConfirmJobResult;
import martenloom.core.state.Command.GetJob;
import martenloom.core.state.Command.GetJobResult;
import martenloom.core.state.Command.OneJobCommand;

/** What callers of the control API may do with jobs: the rules of one moment of a table. */
final class JobClientRules {
    private final JobTable table;
    private final long atUs;

    /**
     * @param atUs the clock of the jobs as the head has stamped it
     */
    JobClientRules(JobTable table, long atUs) {
        this.table = table;
        this.atUs = atUs;
    }

    /** Adds a job, whose due time is relative; the same job again is acknowledged again. */
    CommandResult<JobTable> submit(Job job) {
        var known = table.find(job.id());
        if (known.isPresent()) {
            return known.get().digest().equals(job.digest())
                    ? CommandResult.unchanged(JobJson.render(known.get(), table.clockAt(atUs)))
                    : CommandResult.conflict("job '" + job.id() + "' is known with other content");
        }
        var bytes = job.sizeBytes();
        if (bytes > JobTable.MAX_JOB_BYTES) {
            return CommandResult.refused(
                    ResultCode.TOO_LARGE,
                    "Body: the job has "
                            + bytes
                            + " bytes, over the limit of "
                            + JobTable.MAX_JOB_BYTES);
        }
        if (table.byId().size() >= JobTable.MAX_JOBS) {
            return CommandResult.refused(
                    ResultCode.LIMIT_REACHED,
                    "the core keeps "
                            + JobTable.MAX_JOBS
                            + " jobs, its limit; confirm results or come back later");
        }
        var reservedBytes = table.reservedBytes();
        if (reservedBytes + JobTable.reservedBytes(job) > JobTable.MAX_TABLE_BYTES) {
            return CommandResult.refused(
                    ResultCode.LIMIT_REACHED,
                    "the core keeps room for "
                            + reservedBytes
                            + " bytes of jobs and their results, near its limit of "
                            + JobTable.MAX_TABLE_BYTES
                            + "; confirm results or come back later");
        }
        var nowUs = table.clockAt(atUs);
        job.setSubmittedUs(nowUs);
        job.setDeadlineUs(nowUs + job.deadlineUs());
        return table.with(job, atUs, JobJson.render(job, nowUs));
    }

    /** Carries out a command about a job that is known. */
    CommandResult<JobTable> decide(OneJobCommand command, Job job) {
        if (command instanceof GetJob) {
            return CommandResult.unchanged(JobJson.render(job, table.clockAt(atUs)));
        }
        if (command instanceof ConfirmJobResult) {
            return confirm(job);
        }
        return command instanceof CancelJob ? cancel(job) : result(command, job);
    }

    private CommandResult<JobTable> result(OneJobCommand command, Job job) {
        if (job.state() != JobState.DONE) {
            return CommandResult.conflict(
                    JobReports.standing(job) + (job.reason().isEmpty() ? "" : ": " + job.reason()));
        }
        if (job.confirmed()) {
            return CommandResult.refused(
                    ResultCode.RELEASED,
                    "the result of job '" + job.id() + "' was confirmed and let go");
        }
        return CommandResult.unchanged(
                command instanceof GetJobResult
                        ? new String(job.result(), StandardCharsets.UTF_8)
                        : new JobResult(job.mediaType(), job.result()).encode());
    }

    private CommandResult<JobTable> confirm(Job job) {
        if (job.state() != JobState.DONE) {
            return CommandResult.conflict(JobReports.standing(job));
        }
        if (job.confirmed()) {
            return CommandResult.unchanged("");
        }
        var copy = job.copy();
        copy.setConfirmed(true);
        copy.setResult(new byte[0]);
        copy.setBody(new byte[0]);
        return table.with(copy, atUs, "");
    }

    /** Cancels a job that waits, or one that runs and may be repeated. */
    private CommandResult<JobTable> cancel(Job job) {
        if (job.state() == JobState.CANCELLED) {
            return CommandResult.unchanged("");
        }
        var live = job.state().isLive();
        if (!live || job.state() == JobState.RUNNING && !job.retriable()) {
            return CommandResult.conflict(
                    JobReports.standing(job) + (live ? " and may not be taken back" : ""));
        }
        return table.with(table.ended(job, JobState.CANCELLED, "cancelled", atUs), atUs, "");
    }
}
