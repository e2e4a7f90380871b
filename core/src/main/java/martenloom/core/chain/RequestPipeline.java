package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import martenloom.core.state.Command.ScalingCommand;
import martenloom.core.state.ResultCode;
import martenloom.core.state.StampedCommand;

/**
 * The requests at the head: queued, decided in order, and completed. One write is under way at a
 * time. Answers that write nothing are decided between writes, when all that is known is committed,
 * and wait together for one heartbeat: on a long chain a round each would let callers that lose
 * patience fill the queue.
 */
final class RequestPipeline {
    private static final int MAX_REQUESTS = 256;

    /** The request number of a command that the head itself asks for. */
    private static final long OWN_REQUEST = -1;

    private record PendingRequest(long number, StampedCommand command) {}

    /** The write that is under way: whose it is, since when, and the text of its answer. */
    private record PendingWrite(long request, long sinceUs, String text) {}

    private final MemberContext member;
    private final ReadBarrier barrier;
    private final Replication replication;
    private final ReplicatedJobClock jobClock;
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private Optional<PendingWrite> write = Optional.empty();
    private Supplier<String> placementSurvey = () -> "";

    RequestPipeline(
            MemberContext member,
            ReadBarrier barrier,
            Replication replication,
            ReplicatedJobClock jobClock) {
        this.member = member;
        this.barrier = barrier;
        this.replication = replication;
        this.jobClock = jobClock;
    }

    void setPlacementSurvey(Supplier<String> survey) {
        placementSurvey = survey;
    }

    boolean isFull() {
        return queue.size() + barrier.pendingCount() >= MAX_REQUESTS;
    }

    void submit(long request, StampedCommand command) {
        queue.add(new PendingRequest(request, command));
    }

    /** A command that the head itself asks for, before all others. */
    void submitFirst(StampedCommand command) {
        queue.addFirst(new PendingRequest(OWN_REQUEST, command));
    }

    /** Whether the next request can be decided: this is the head, and no write is under way. */
    boolean isReady() {
        return member.isHead() && write.isEmpty() && member.disk().isFree();
    }

    /** Decides requests until one of them is a write; reads wait for the heartbeat of a number. */
    void decideQueued(long nextHeartbeat) {
        while (isReady() && !queue.isEmpty()) {
            decide(queue.poll(), nextHeartbeat);
        }
    }

    private void decide(PendingRequest request, long nextHeartbeat) {
        var placement =
                request.command.command() instanceof ScalingCommand ? placementSurvey.get() : "";
        var timeUs = jobClock.timeUs(member.state(), member.nowUs());
        var command = request.command.stampedAt(timeUs).surveyed(placement);
        var outcome = member.state().decide(command);
        if (outcome.next().isEmpty()) {
            barrier.await(request.number, outcome, nextHeartbeat);
            return;
        }
        write = Optional.of(new PendingWrite(request.number, member.nowUs(), outcome.text()));
        replication.write(command, outcome.next().get());
    }

    /** Sends the write under way again when it is time; says whether it has taken too long. */
    boolean isWriteStuck() {
        if (write.isEmpty()) {
            return false;
        }
        replication.retransmit();
        return write.isPresent()
                && member.nowUs() - write.get().sinceUs > HeadContact.HEAD_TIMEOUT_US;
    }

    /** The whole chain has accepted the write under way; says whether there was one. */
    boolean completeWrite() {
        if (write.isEmpty()) {
            return false;
        }
        member.complete(write.get().request, ResultCode.OK, write.get().text);
        write = Optional.empty();
        return true;
    }

    void reject(long request, String reason) {
        member.complete(request, ResultCode.UNAVAILABLE, reason);
    }

    /** Rejects the write under way, what waits for a heartbeat, and the queue. */
    void rejectAll(String reason) {
        write.ifPresent(pending -> reject(pending.request, reason));
        write = Optional.empty();
        barrier.rejectAll(ResultCode.UNAVAILABLE, reason);
        queue.forEach(request -> reject(request.number, reason));
        queue.clear();
    }
}
