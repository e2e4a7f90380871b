package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import martenloom.core.chain.ChainMember.Answer;
import martenloom.core.state.ClusterState;
import martenloom.core.state.CommandResult;
import martenloom.core.state.ResultCode;

/**
 * Heartbeats as proof: one that was sent after a question and has run the whole chain shows that no
 * other view had been agreed when it was sent, so that an answer that writes nothing may be given.
 * All that wait share one heartbeat.
 */
final class ReadBarrier {
    private static final int REMEMBERED = 64;

    /** An answer that writes nothing, until the heartbeat that proves this head. */
    private record Unproven(long request, CommandResult<ClusterState> result, long barrier) {}

    private final Consumer<Answer> output;
    private final Deque<Unproven> unproven = new ArrayDeque<>();
    private final long[] sentAtUs = new long[REMEMBERED];
    private long number;
    private long acknowledged;
    private long acknowledgedUs;
    private long sentUs;
    private long provenUs;

    ReadBarrier(Consumer<Answer> output) {
        this.output = output;
    }

    /** The number of the next heartbeat, which is sent now. */
    long next(long nowUs) {
        sentUs = nowUs;
        number++;
        sentAtUs[(int) (number % REMEMBERED)] = nowUs;
        return number;
    }

    long number() {
        return number;
    }

    long sentUs() {
        return sentUs;
    }

    /** Whether no heartbeat has come back for too long in a view that stands since a time. */
    boolean isSilent(long nowUs, long viewSinceUs) {
        return nowUs - Math.max(acknowledgedUs, viewSinceUs) > MemberContext.SILENT_US;
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

    /** A view has become active that was formed at a time. */
    void onActive(long nowUs, long formedUs) {
        acknowledgedUs = nowUs;
        provenUs = Math.max(provenUs, formedUs);
    }

    /** A heartbeat came back from the tail: gives the answers that waited for it. */
    void onAcknowledged(long n, long nowUs) {
        acknowledgedUs = nowUs;
        acknowledged = Math.max(acknowledged, n);
        if (number - n < REMEMBERED) {
            provenUs = Math.max(provenUs, sentAtUs[(int) (n % REMEMBERED)]);
        }
        while (!unproven.isEmpty() && acknowledged >= unproven.peek().barrier) {
            var u = unproven.poll();
            output.accept(new Answer(u.request, u.result.code(), u.result.text()));
        }
    }

    void await(long request, CommandResult<ClusterState> result, long barrier) {
        unproven.add(new Unproven(request, result, barrier));
    }

    int waiting() {
        return unproven.size();
    }

    /** Whether an answer waits for a heartbeat that was not sent yet. */
    boolean needsHeartbeat() {
        return !unproven.isEmpty() && unproven.peekLast().barrier > number;
    }

    void refuseAll(ResultCode code, String text) {
        unproven.forEach(u -> output.accept(new Answer(u.request, code, text)));
        unproven.clear();
    }
}
