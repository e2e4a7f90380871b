package martenloom.edge.jobs;

import java.util.Base64;
import java.util.function.Consumer;
import martenloom.common.codec.RecordWriter;
import martenloom.edge.home.CoreCommand;
import martenloom.edge.home.CoreReply;
import martenloom.edge.home.CoreRequest;
import martenloom.edge.home.CoreRequests;

/**
 * Writes what the core is told of jobs and of their runs. Every report names the run that it is
 * about, so that a copy which comes late changes nothing. Runs on the reactor thread.
 */
final class JobReports {
    private final CoreRequests core;

    /** The address of this edge. */
    private final String runner;

    JobReports(CoreRequests core, String runner) {
        this.core = core;
        this.runner = runner;
    }

    /** Starts the run after those that the listing counts; an accepted reply brings the job. */
    void start(JobListing listing, long fencingToken, Consumer<CoreReply> onReply) {
        core.send(
                new CoreRequest(
                        CoreCommand.START_JOB, listing.id(), fencingToken, listing.runs(), runner),
                onReply);
    }

    /**
     * Saves further output of a run.
     *
     * @param offset where it begins in the whole output, in bytes
     */
    void append(
            JobRun run,
            String lastEventId,
            int offset,
            byte[] output,
            Consumer<CoreReply> onReply) {
        var body = new RecordWriter().text(lastEventId).i32(offset).blob(output);
        send(CoreCommand.APPEND_JOB_OUTPUT, run, body, onReply);
    }

    /**
     * Ends a run that brought a result.
     *
     * @param offset where the rest of the output begins in the whole, in bytes
     */
    void finish(JobRun run, int status, int offset, byte[] rest, Consumer<CoreReply> onReply) {
        var body = new RecordWriter().i32(status).i32(offset).blob(rest);
        send(CoreCommand.FINISH_JOB, run, body, onReply);
    }

    /** Ends a run that brought no result. */
    void giveBack(JobRun run, RunFailure failure, String reason, Consumer<CoreReply> onReply) {
        send(CoreCommand.RETURN_JOB, run, failureBody(failure, reason), onReply);
    }

    /** Ends the run that a listing names, which this edge does not have. */
    void giveBack(
            JobListing listing,
            long fencingToken,
            RunFailure failure,
            String reason,
            Consumer<CoreReply> onReply) {
        core.send(
                new CoreRequest(
                        CoreCommand.RETURN_JOB,
                        listing.id(),
                        fencingToken,
                        listing.runs(),
                        encode(failureBody(failure, reason))),
                onReply);
    }

    private static RecordWriter failureBody(RunFailure failure, String reason) {
        return new RecordWriter().u8(failure.ordinal()).text(reason);
    }

    private void send(
            CoreCommand command, JobRun run, RecordWriter body, Consumer<CoreReply> onReply) {
        core.send(
                new CoreRequest(
                        command, run.jobId(), run.fencingToken(), run.number(), encode(body)),
                onReply);
    }

    private static String encode(RecordWriter body) {
        return Base64.getEncoder().encodeToString(body.bytes());
    }
}
