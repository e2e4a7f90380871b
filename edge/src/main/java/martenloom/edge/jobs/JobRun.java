package martenloom.edge.jobs;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.common.jobs.Job;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.Request;
import martenloom.edge.dispatch.ResponseSink;
import martenloom.edge.home.CoreReply;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.HttpStatus;

/**
 * One run of a job: takes the response to its request, saves the output of a resumable job at the
 * core as it comes, and reports the end until the core has replied or the lease is lost. Reports
 * are made one at a time, and repeated until their outcome is known; the run that they name makes
 * that harmless. Runs on the reactor thread.
 */
final class JobRun implements ResponseSink {
    /** Output is saved when there is more than this. */
    private static final int SAVE_ABOVE_BYTES = 16 << 10;

    private static final long REPEAT_US = 200_000;
    private static final int MAX_SAVE_ATTEMPTS = 50;

    /** How often the end of a run looks whether its output has been saved. */
    private static final long AWAIT_SAVE_US = 100_000;

    private static final int MAX_AWAIT_SAVE_ATTEMPTS = 200;

    /** What a run needs of the runner of the jobs. */
    interface Owner {
        /** The run is over and need not be known any more. */
        void onEnded(JobRun run);

        /** The run can't go on. */
        void abandon(JobRun run, String reason);
    }

    /** A report of the end of this run, with what the output is when it is sent. */
    private interface EndReport {
        void send(Consumer<CoreReply> onReply);
    }

    private final Job job;
    private final JobLease lease;
    private final RunId id;
    private final JobReports reports;
    private final Scheduler scheduler;
    private final Owner owner;

    /** The output that is not saved. */
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private Optional<Request> request = Optional.empty();

    /** The head of the response, once it has come. */
    private ResultHead result = new ResultHead(HttpStatus.OK, "");

    /** The output that the core has, in bytes. */
    private int savedBytes;

    private boolean saving;
    private boolean over;

    JobRun(Job job, JobLease lease, JobReports reports, Scheduler scheduler, Owner owner) {
        this.job = job;
        this.lease = lease;
        this.reports = reports;
        this.scheduler = scheduler;
        this.owner = owner;
        id = new RunId(job.id(), lease.fencingToken(), job.attempts());
        savedBytes = job.checkpoint().length;
    }

    RunId id() {
        return id;
    }

    /** The request that was started for the run, if one could be. */
    Optional<Request> request() {
        return request;
    }

    void setRequest(Optional<Request> started) {
        request = started;
    }

    /** Whether another run may follow one of unknown outcome. */
    boolean mayBeRepeated() {
        return job.retriable();
    }

    boolean isOver() {
        return over;
    }

    /** Reports nothing any more. */
    void abandon() {
        over = true;
    }

    // ---- the response

    @Override
    public void respond(byte[] headBytes, byte[] body) {
        var head = new String(headBytes, StandardCharsets.ISO_8859_1);
        result = ResultHead.read(headBytes);
        var status = result.status();
        var sealed = head.toLowerCase(Locale.ROOT).contains("\r\nx-server-seal:");
        if (sealed && HttpStatus.isSuccess(status)) {
            output.writeBytes(body);
            reportResult();
        } else if (sealed || head.contains(HeaderField.ATTEMPT_ID)) {
            reportFailure(RunFailure.RAN_AND_FAILED, "the replica answered " + status);
        } else {
            var rejected =
                    status == HttpStatus.SERVICE_UNAVAILABLE
                            || status == HttpStatus.TOO_MANY_REQUESTS;
            reportFailure(
                    rejected ? RunFailure.NOT_RUN : RunFailure.MAY_HAVE_RUN,
                    "no answer: " + status);
        }
    }

    @Override
    public void beginStream(byte[] head) {
        result = ResultHead.read(head);
    }

    @Override
    public void sendEvents(byte[] events) {
        output.writeBytes(events);
        if (output.size() > SAVE_ABOVE_BYTES) {
            saveOutput();
        }
    }

    @Override
    public void endStream() {
        reportResult();
    }

    @Override
    public void abortStream() {
        saveOutput();
        reportFailure(RunFailure.MAY_HAVE_RUN, "the stream was cut");
    }

    @Override
    public int unsentBytes() {
        return 0;
    }

    // ---- saving output

    /** Saves what was not saved, if the job can be resumed; one report at a time. */
    void saveOutput() {
        if (over || saving || !job.resumable() || output.size() == 0 || request.isEmpty()) {
            return;
        }
        saving = true;
        var unsaved = output.toByteArray();
        output.reset();
        save(request.get().lastEventId(), unsaved, 0);
    }

    /** The same report again until its outcome is known; its offset makes that harmless. */
    private void save(String lastEventId, byte[] unsaved, int attempts) {
        reports.append(
                id,
                lastEventId,
                savedBytes,
                unsaved,
                reply -> {
                    if (reply.isAccepted()) {
                        savedBytes += unsaved.length;
                        saving = false;
                    } else if (reply.isUnknown()
                            && lease.isHeld()
                            && attempts < MAX_SAVE_ATTEMPTS) {
                        scheduler.after(REPEAT_US, () -> save(lastEventId, unsaved, attempts + 1));
                    } else {
                        owner.abandon(this, "the core replied: " + reply.text());
                    }
                });
    }

    // ---- reporting the end

    private void reportResult() {
        reportEnd(
                "result",
                onReply -> reports.finish(id, result, savedBytes, output.toByteArray(), onReply),
                0);
    }

    void reportFailure(RunFailure failure, String reason) {
        reportEnd(failure.name(), onReply -> reports.giveBack(id, failure, reason, onReply), 0);
    }

    /** Reports the end until the core has a reply or another lease was granted. */
    private void reportEnd(String kind, EndReport report, int attempts) {
        over = true;
        if (lease.fencingToken() != id.fencingToken()) {
            owner.onEnded(this);
            return;
        }
        if (!lease.isHeld()) {
            scheduler.after(REPEAT_US, () -> reportEnd(kind, report, attempts));
            return;
        }
        if (saving && attempts < MAX_AWAIT_SAVE_ATTEMPTS) {
            scheduler.after(AWAIT_SAVE_US, () -> reportEnd(kind, report, attempts + 1));
            return;
        }
        report.send(
                reply -> {
                    if (reply.isUnknown()) {
                        scheduler.after(REPEAT_US, () -> reportEnd(kind, report, attempts + 1));
                    } else {
                        owner.onEnded(this);
                        logEnd(kind, reply);
                    }
                });
    }

    private void logEnd(String kind, CoreReply reply) {
        RingLog.debug(
                "job "
                        + job.id()
                        + " "
                        + kind
                        + ": "
                        + reply.status()
                        + " "
                        + (reply.isAccepted() ? "" : reply.text()));
    }
}
