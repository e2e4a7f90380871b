package martenloom.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MalformedRecordException;
import martenloom.common.jobs.Content;
import martenloom.common.jobs.Job;
import martenloom.common.jobs.JobCodec;
import martenloom.common.jobs.JobPart;
import martenloom.common.jobs.JobState;
import martenloom.core.state.Command.AdvanceJobClock;
import martenloom.core.state.Command.JobCommand;
import martenloom.core.state.Command.JobRunnerCommand;
import martenloom.core.state.Command.ListJobs;
import martenloom.core.state.Command.OneJobCommand;
import martenloom.core.state.Command.SubmitJob;

/**
 * The deferred jobs. Immutable; {@link #decide} is the one place that moves a job from state to
 * state, with {@link JobClientRules} for callers and {@link JobRunnerRules} for the edge that runs
 * the jobs of a region.
 *
 * <p>A job waits, runs, and waits again after a run that may be repeated, until it is done, failed,
 * cancelled, expired, or uncertain, which is when it may have run and must not run again. Times are
 * on the table's own clock, which only goes forward and is part of the state.
 *
 * <p>Invariant: a run is ended only by the holder of the lease under which it was started.
 *
 * @param clockUs the clock of the jobs, in microseconds
 * @param byId the jobs in the order of their ids
 */
public record JobTable(long clockUs, Map<String, Job> byId) {
    /** The most jobs that are kept, in any state. */
    static final int MAX_JOBS = 200;

    /** The largest job that is taken. */
    static final int MAX_JOB_BYTES = 256 << 10;

    /** For so large a result there is room from the submission on. */
    static final int RESERVED_RESULT_BYTES = 256 << 10;

    /** So large a job may grow by its output while the room for others is left. */
    static final int MAX_JOB_AND_OUTPUT_BYTES = 2 * MAX_JOB_BYTES;

    /** The most bytes of all jobs together, with the room that is reserved for results. */
    static final int MAX_TABLE_BYTES = 64 << 20;

    /** So long after its end a job is kept. */
    static final long RETENTION_US = 3_600_000_000L;

    /** So long after its due time a run may still bring a result. */
    private static final long OVERTIME_US = 10_000_000;

    /** No jobs, at the beginning of their clock. */
    static final JobTable EMPTY = new JobTable(0, Map.of());

    /** Writes the jobs, with their contents empty that are larger than this. */
    void write(RecordWriter out, int largestContent) {
        out.i64(clockUs)
                .list(byId.values(), (row, job) -> JobCodec.write(job, row, largestContent));
    }

    static JobTable read(RecordReader in) {
        var clockUs = in.i64();
        var jobs = new TreeMap<String, Job>();
        in.list(
                reader -> {
                    var job = JobCodec.read(reader);
                    return jobs.put(job.id(), job);
                });
        return new JobTable(clockUs, jobs);
    }

    /**
     * Writes what jobs have beyond their first form, a list with a row for each that has it;
     * nothing where none has.
     */
    void writeExtensions(RecordWriter out) {
        var extended = byId.values().stream().filter(job -> !job.mediaType().isEmpty()).toList();
        if (!extended.isEmpty()) {
            out.list(extended, (row, job) -> row.text(job.id()).text(job.mediaType()));
        }
    }

    /** Reads what {@link #writeExtensions} wrote into jobs that were read just now. */
    void readExtensions(RecordReader in) {
        if (in.hasMore()) {
            in.list(
                    row -> {
                        var job = byId.get(row.text());
                        job.setMediaType(row.text());
                        return job;
                    });
        }
    }

    // ---- contents that are kept apart

    /** Names the contents that are too large to stand in the bytes of a state. */
    public List<ContentReference> references() {
        var references = new ArrayList<ContentReference>();
        for (var job : byId.values()) {
            for (var part : JobPart.values()) {
                var content = job.content(part);
                if (content.length() > EncodedState.MAX_INLINE_BYTES) {
                    references.add(new ContentReference(job.id(), part, content.digest()));
                }
            }
        }
        return references;
    }

    /** A content of one of the jobs. */
    public Content content(ContentReference reference) {
        return byId.get(reference.jobId()).content(reference.part());
    }

    /** Puts a content back into a job that was read without it just now. */
    void restore(ContentReference reference, Content content) {
        var job = byId.get(reference.jobId());
        if (job == null) {
            throw new MalformedRecordException("read state", "no job " + reference.jobId());
        }
        job.setContent(reference.part(), content);
    }

    /** How many jobs wait or run. */
    public long live() {
        return byId.values().stream().filter(job -> job.state().isLive()).count();
    }

    /** The size of all jobs, with the room that is reserved for the results of live ones. */
    long reservedBytes() {
        return byId.values().stream().mapToLong(JobTable::reservedBytes).sum();
    }

    /** The size of a job, with the room for its result if it is live. */
    static long reservedBytes(Job job) {
        var bytes = job.sizeBytes();
        return job.state().isLive()
                ? Math.max(bytes, bytes - job.checkpoint().length + RESERVED_RESULT_BYTES)
                : bytes;
    }

    /** The job of this id. */
    public Optional<Job> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Carries out a command that the head has stamped with the clock of the jobs. */
    CommandResult<JobTable> decide(JobCommand command, long atUs, LeaseTable leases) {
        if (command instanceof AdvanceJobClock) {
            return CommandResult.changed(advancedTo(atUs), "");
        }
        if (command instanceof ListJobs) {
            return CommandResult.unchanged(JobReports.json(this, atUs));
        }
        if (command instanceof SubmitJob submission) {
            return new JobClientRules(this, atUs).submit(submission.job());
        }
        return decideOne((OneJobCommand) command, atUs, leases);
    }

    private CommandResult<JobTable> decideOne(OneJobCommand command, long atUs, LeaseTable leases) {
        var job = byId.get(command.jobId());
        if (job == null) {
            return CommandResult.refused(
                    ResultCode.NOT_FOUND, "job '" + command.jobId() + "' is not known");
        }
        return command instanceof JobRunnerCommand report
                ? new JobRunnerRules(this, atUs).decide(report, job, leases)
                : new JobClientRules(this, atUs).decide(command, job);
    }

    /** The clock at a stamp; it never goes back. */
    long clockAt(long atUs) {
        return Math.max(clockUs, atUs);
    }

    /** The result that one job was added or has changed. */
    CommandResult<JobTable> with(Job job, long atUs, String text) {
        var jobs = new TreeMap<>(byId);
        jobs.put(job.id(), job);
        return CommandResult.changed(new JobTable(clockAt(atUs), jobs), text);
    }

    /** A copy of a job that has ended; what only a later run or the result needs is dropped. */
    Job ended(Job job, JobState state, String reason, long atUs) {
        var copy = job.copy();
        copy.setState(state);
        copy.setReason(reason);
        copy.setEndedUs(clockAt(atUs));
        if (state != JobState.DONE) {
            copy.setCheckpoint(new byte[0]);
            copy.setBody(new byte[0]);
        }
        return copy;
    }

    /** Moves the clock, ends what is past its due time, and forgets what ended long ago. */
    private JobTable advancedTo(long atUs) {
        var nowUs = clockAt(atUs);
        var jobs = new TreeMap<String, Job>();
        for (var job : byId.values()) {
            if (job.state() == JobState.WAITING && nowUs > job.deadlineUs()) {
                var reason = "its due time passed while it waited";
                jobs.put(job.id(), ended(job, JobState.EXPIRED, reason, atUs));
            } else if (job.state() == JobState.RUNNING && nowUs > job.deadlineUs() + OVERTIME_US) {
                jobs.put(job.id(), overdue(job, atUs));
            } else if (job.state().isLive() || nowUs - job.endedUs() < RETENTION_US) {
                jobs.put(job.id(), job);
            }
        }
        return new JobTable(nowUs, jobs);
    }

    private Job overdue(Job job, long atUs) {
        return job.retriable()
                ? ended(job, JobState.EXPIRED, "its due time passed while it ran", atUs)
                : ended(job, JobState.UNCERTAIN, "no word came from its runner", atUs);
    }

    /** All jobs for the operator's shell, one a line. */
    public String report(long atUs) {
        return JobReports.text(this, atUs);
    }
}
