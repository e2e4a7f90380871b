package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.Deque;
import martenloom.core.state.ClusterState;
import martenloom.core.state.CommandResult;
import martenloom.core.state.ResultCode;

/**
 * Heartbeats as proof that a head still is one. A heartbeat that was sent after a question and has
 * run the whole chain shows that no other view had been agreed when it was sent; so an answer that
 * writes nothing may be given then. All that wait share one heartbeat.
 *
 * <p>Invariant: no answer is given before a heartbeat numbered at least as its barrier has come
 * back.
 */
final class ReadBarrier {
    /** The times of sending of so many heartbeats are kept. */
    private static final int REMEMBERED = 64;

    /** An answer that writes nothing, until the heartbeat that proves this head. */
    private record PendingRead(long request, CommandResult<ClusterState> outcome, long barrier) {}

    private final MemberContext member;
    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private final long[] sentAtUs = new long[REMEMBERED];

    /** The number of the newest heartbeat sent. */
    private long number;

    private long sentUs;
    private long acknowledgedNumber;
    private long acknowledgedUs;
    private long provenUs;

    ReadBarrier(MemberContext member) {
        this.member = member;
    }

    /** The number of the next heartbeat, which is sent now. */
    long nextHeartbeat() {
        sentUs = member.nowUs();
        number++;
        sentAtUs[(int) (number % REMEMBERED)] = sentUs;
        return number;
    }

    /** The number of the newest heartbeat sent. */
    long number() {
        return number;
    }

    long sentUs() {
        return sentUs;
    }

    /** Whether no heartbeat has come back for too long in a view that is active since a time. */
    boolean isSilent(long viewSinceUs) {
        return member.nowUs() - Math.max(acknowledgedUs, viewSinceUs) > HeadContact.HEAD_TIMEOUT_US;
    }

    /** When the newest heartbeat came back. */
    long acknowledgedUs() {
        return acknowledgedUs;
    }

    /**
     * When the newest heartbeat that came back was sent: until then at least, no other view had
     * been agreed.
     */
    long provenUs() {
        return provenUs;
    }

    /** A view has become active now that was formed at a time. */
    void onViewActive(long formedUs) {
        acknowledgedUs = member.nowUs();
        provenUs = Math.max(provenUs, formedUs);
    }

    /** A heartbeat came back from the tail: gives the answers that waited for it. */
    void onAcknowledged(long heartbeat) {
        acknowledgedUs = member.nowUs();
        acknowledgedNumber = Math.max(acknowledgedNumber, heartbeat);
        if (number - heartbeat < REMEMBERED) {
            provenUs = Math.max(provenUs, sentAtUs[(int) (heartbeat % REMEMBERED)]);
        }
        while (!pending.isEmpty() && acknowledgedNumber >= pending.peek().barrier) {
            var read = pending.poll();
            member.complete(read.request, read.outcome.code(), read.outcome.text());
        }
    }

    /** Gives an answer once a heartbeat of this number or above has come back. */
    void await(long request, CommandResult<ClusterState> outcome, long barrier) {
        pending.add(new PendingRead(request, outcome, barrier));
    }

    int pendingCount() {
        return pending.size();
    }

    /** Whether an answer waits for a heartbeat that was not sent yet. */
    boolean needsHeartbeat() {
        return !pending.isEmpty() && pending.peekLast().barrier > number;
    }

    void rejectAll(ResultCode code, String text) {
        pending.forEach(read -> member.complete(read.request, code, text));
        pending.clear();
    }
}
