package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.edge.replica.ReplicaTable;

/**
 * Carries out what {@link RetryPolicy} decides about the events of attempts: passes responses on to
 * clients, starts retries, and ends requests. {@link ReplicaFeedback} learns what a replica did.
 * Runs on the reactor thread.
 */
final class AttemptHandler implements Attempt.Listener {
    /** Reading a stream is paused while more than this waits for the client to read it. */
    private static final int PAUSE_ABOVE_BYTES = 1 << 18;

    /** The same while the account of responses is full. */
    private static final int PAUSE_ABOVE_BYTES_IF_FULL = 16 << 10;

    /** Reading goes on below this part of what it was paused above. */
    private static final int RESUME_DIVISOR = 4;

    private static final long RESUME_CHECK_US = 10_000;

    /** What the handler needs of the dispatcher. */
    interface Owner {
        /** Starts another attempt; false when none can be started now. */
        boolean dispatch(Request request, long nowUs);

        /** Lets a request wait for its next attempt, or ends it. */
        void enqueue(Request request, long nowUs);

        /** A replica has capacity for a request that waits. */
        void onCapacityFreed();
    }

    private final Eventloop loop;
    private final ReplicaTable replicaTable;
    private final RequestCompletion completion;
    private final ShutdownAdmissionPolicy admissionPolicy;
    private final MessageMemory responseMemory;
    private final Owner owner;
    private final ReplicaFeedback feedback;

    AttemptHandler(
            Eventloop loop,
            ReplicaTable replicaTable,
            RequestCompletion completion,
            ShutdownAdmissionPolicy admissionPolicy,
            MessageMemory responseMemory,
            Owner owner) {
        this.loop = loop;
        this.replicaTable = replicaTable;
        this.completion = completion;
        this.admissionPolicy = admissionPolicy;
        this.responseMemory = responseMemory;
        this.owner = owner;
        feedback = new ReplicaFeedback(replicaTable);
    }

    // ---- streams

    @Override
    public void onStreamHead(Attempt attempt, MessageHead head) {
        var request = attempt.request();
        if (request.done() || request.streaming()) {
            return;
        }
        request.become(Request.State.STREAMING);
        head.removeHopByHopFields();
        request.sink().beginStream(head.encodeWithoutBlankLine());
    }

    @Override
    public void onEvents(Attempt attempt, byte[] events, String lastEventId) {
        var request = attempt.request();
        feedback.onEvents(attempt);
        if (request.done()) {
            return;
        }
        if (!lastEventId.isEmpty()) {
            request.setLastEventId(lastEventId);
        }
        request.sink().sendEvents(events);
        if (request.sink().unsentBytes() > pauseAboveBytes()) {
            attempt.pauseReading(true);
            resumeWhenRead(attempt);
        }
    }

    private int pauseAboveBytes() {
        return responseMemory.isFull() ? PAUSE_ABOVE_BYTES_IF_FULL : PAUSE_ABOVE_BYTES;
    }

    private void resumeWhenRead(Attempt attempt) {
        Clocks.after(
                loop,
                RESUME_CHECK_US,
                () -> {
                    var request = attempt.request();
                    if (request.done()
                            || request.sink().unsentBytes() < pauseAboveBytes() / RESUME_DIVISOR) {
                        attempt.pauseReading(false);
                    } else {
                        resumeWhenRead(attempt);
                    }
                });
    }

    @Override
    public void onStreamEnd(Attempt attempt, byte[] remainder) {
        attempt.removeFromLoad();
        var request = attempt.request();
        if (request.done()) {
            return;
        }
        var now = Clocks.nowUs();
        feedback.onStreamEnd(attempt, now);
        finishAnswered(request, now);
        request.sink().sendEvents(remainder);
        request.sink().endStream();
        owner.onCapacityFreed();
    }

    private void finishAnswered(Request request, long nowUs) {
        admissionPolicy.onAnswered(request, nowUs);
        completion.finishServed(request);
    }

    // ---- other responses and failures

    @Override
    public MessageMemory responseMemory() {
        return responseMemory;
    }

    @Override
    public void onResponse(Attempt attempt, MessageHead head, byte[] body) {
        attempt.removeFromLoad();
        var request = attempt.request();
        request.countAttempt();
        if (request.done()) {
            return;
        }
        var now = Clocks.nowUs();
        var decision = RetryPolicy.afterResponse(request, head.status());
        if (!request.streaming()) {
            feedback.onResponse(attempt, head.status(), now);
        }
        if (decision == RetryPolicy.Decision.ANSWER) {
            finishAnswered(request, now);
            head.removeHopByHopFields();
            request.sink().respond(head.encodeWithoutBlankLine(), body);
            owner.onCapacityFreed();
        } else {
            request.markMayHaveRun();
            carryOut(decision, attempt, now);
        }
    }

    @Override
    public void onFailed(Attempt attempt, Attempt.Failure failure, Optional<MessageHead> head) {
        attempt.removeFromLoad();
        var request = attempt.request();
        var now = Clocks.nowUs();
        RingLog.debug(
                "attempt of "
                        + request.id()
                        + " at "
                        + attempt.replica().id()
                        + " failed: "
                        + failure);
        if (failure != Attempt.Failure.UNSENT) {
            request.countAttempt();
        }
        if (failure == Attempt.Failure.MAYBE_RUN || failure == Attempt.Failure.TRUNCATED) {
            request.markMayHaveRun();
        }
        if (failure != Attempt.Failure.UNSENT || !RetryPolicy.isExpired(request, now)) {
            feedback.onFailure(attempt, failure, head, now);
        }
        if (!request.done()) {
            request.clearAttempt();
            carryOut(RetryPolicy.afterFailure(request, failure, now), attempt, now);
        }
    }

    private void carryOut(RetryPolicy.Decision decision, Attempt attempt, long nowUs) {
        var request = attempt.request();
        var replicaId = attempt.replica().id();
        if (decision == RetryPolicy.Decision.RETRY_UNSENT) {
            request.triedReplicas().remove(replicaId);
            retryOrWait(request, nowUs);
            return;
        }
        request.triedReplicas().add(replicaId);
        switch (decision) {
            case RETRY, RESUME -> retry(request);
            case ABORT_STREAM -> completion.abortStream(request);
            case FAIL_MAY_HAVE_RUN -> completion.fail(request, RequestCompletion.MAY_HAVE_RUN);
            case GIVE_UP -> completion.giveUp(request);
            case EXPIRE -> completion.onDeadline(request);
            default -> throw new IllegalStateException("unexpected decision " + decision);
        }
    }

    private void retry(Request request) {
        if (request.state() == Request.State.RUNNING) {
            request.become(Request.State.WAITING);
        }
        request.clearAttempt();
        retryOrWait(request, Clocks.nowUs());
    }

    private void retryOrWait(Request request, long nowUs) {
        if (!owner.dispatch(request, nowUs)) {
            var replicas = replicaTable.ofService(request.service()).size();
            if (RetryPolicy.mayRepeatReplicas(request, replicas)) {
                request.triedReplicas().clear();
            }
            owner.enqueue(request, nowUs);
        }
    }

    // ---- unresponsive replicas

    /** Moves a request to another replica, when the policy, the replicas and the budget allow. */
    @Override
    public void onReplicaUnresponsive(Attempt attempt, long nowUs) {
        if (!RetryPolicy.mayMove(attempt, nowUs)) {
            return;
        }
        var request = attempt.request();
        request.countAttempt();
        request.triedReplicas().add(attempt.replica().id());
        if (!owner.dispatch(request, nowUs)) {
            request.uncountAttempt();
            request.setAttempt(attempt);
            return;
        }
        completion.countMoved();
        attempt.abandon();
    }
}
