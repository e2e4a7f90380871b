package martenloom.edge.jobs;

import java.util.Base64;
import java.util.function.Consumer;
import martenloom.common.codec.RecordWriter;
import martenloom.edge.home.CoreCommand;
import martenloom.edge.home.CoreReply;
import martenloom.edge.home.CoreRequest;
import martenloom.edge.home.CoreRequests;

/**
 * Reports the runs of jobs to the core. Every report names the run that it is about, so that a copy
 * which comes late changes nothing. Runs on the reactor thread.
 */
final class JobReports {
    private final CoreRequests core;

    /** The address of this edge. */
    private final String runner;

    JobReports(CoreRequests core, String runner) {
        this.core = core;
        this.runner = runner;
    }

    /**
     * Starts the next run of a job; an accepted reply brings the job.
     *
     * @param last the last run that is known of
     */
    void start(RunId last, Consumer<CoreReply> onReply) {
        send(CoreCommand.START_JOB, last, runner, onReply);
    }

    /**
     * Saves further output of a run.
     *
     * @param offset where it begins in the whole output, in bytes
     */
    void append(
            RunId run, String lastEventId, int offset, byte[] output, Consumer<CoreReply> onReply) {
        var body = new RecordWriter().text(lastEventId).i32(offset).blob(output);
        send(CoreCommand.APPEND_JOB_OUTPUT, run, encode(body), onReply);
    }

    /**
     * Ends a run that brought a result.
     *
     * @param offset where the rest of the output begins in the whole, in bytes
     */
    void finish(
            RunId run, ResultHead result, int offset, byte[] rest, Consumer<CoreReply> onReply) {
        var body =
                new RecordWriter()
                        .i32(result.status())
                        .i32(offset)
                        .blob(rest)
                        .text(result.mediaType());
        send(CoreCommand.FINISH_JOB, run, encode(body), onReply);
    }

    /** Ends a run that brought no result. */
    void giveBack(RunId run, RunFailure failure, String reason, Consumer<CoreReply> onReply) {
        var body = new RecordWriter().u8(failure.ordinal()).text(reason);
        send(CoreCommand.RETURN_JOB, run, encode(body), onReply);
    }

    private void send(CoreCommand command, RunId run, String body, Consumer<CoreReply> onReply) {
        core.send(
                new CoreRequest(command, run.jobId(), run.fencingToken(), run.number(), body),
                onReply);
    }

    private static String encode(RecordWriter body) {
        return Base64.getEncoder().encodeToString(body.bytes());
    }
}
