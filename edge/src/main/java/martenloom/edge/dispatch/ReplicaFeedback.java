package martenloom.edge.dispatch;

import java.util.Optional;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.replica.ReplicaTable;

/**
 * Learns from the events of attempts how healthy and how fast a replica is. Runs on the reactor
 * thread.
 */
final class ReplicaFeedback {
    /** How long a replica that could not be connected to is left alone. */
    private static final long UNREACHABLE_HOLD_US = 700_000;

    private static final long MISDIRECTED_SUSPECT_US = 1_500_000;

    /** How long a replica that rejected a request for want of capacity is left alone. */
    private static final long FULL_US = 60_000;

    /** What a prefill takes besides the time for its tokens. */
    private static final long PREFILL_BASE_US = 15_000;

    /** Only a large prompt with little ahead of it tells the rate of prefill. */
    private static final int LEAST_SAMPLE_TOKENS = 1500;

    private static final int MAX_SAMPLE_TOKENS_AHEAD = 3000;
    private static final long LEAST_SAMPLE_US = 5_000;
    private static final double MAX_TOKENS_PER_MS = 400;
    private static final double US_PER_MS = 1000.0;

    private static final double WORK_SMOOTHING = 0.05;
    private static final double LEAST_WORK_US = 1000;

    private final ReplicaTable replicaTable;

    ReplicaFeedback(ReplicaTable replicaTable) {
        this.replicaTable = replicaTable;
    }

    /** The first event of a stream ends its prefill and tells how fast that was. */
    void onEvents(Attempt attempt) {
        if (attempt.prefilled()) {
            return;
        }
        attempt.endPrefill();
        var replica = attempt.replica();
        var tokens = attempt.certainPrefillTokens();
        var tookUs = attempt.firstEventUs() - attempt.sentUs() - replica.rttUs - PREFILL_BASE_US;
        if (tokens > LEAST_SAMPLE_TOKENS
                && attempt.tokensAhead() < MAX_SAMPLE_TOKENS_AHEAD
                && tookUs > LEAST_SAMPLE_US) {
            replicaTable.learnRate(
                    replica, Math.min(MAX_TOKENS_PER_MS, tokens * US_PER_MS / tookUs));
        }
    }

    void onStreamEnd(Attempt attempt, long nowUs) {
        learnHealth(attempt.replica(), true, nowUs);
    }

    /** A complete response that is no stream. */
    void onResponse(Attempt attempt, int status, long nowUs) {
        var replica = attempt.replica();
        learnHealth(
                replica,
                !HttpStatus.isServerError(status) || status == HttpStatus.GATEWAY_TIMEOUT,
                nowUs);
        if (HttpStatus.isSuccess(status)) {
            var workUs = Math.max(LEAST_WORK_US, nowUs - attempt.sentUs() - replica.rttUs);
            replica.workUs += (workUs - replica.workUs) * WORK_SMOOTHING;
        }
    }

    /** An attempt that failed; one that was not sent for want of time is none of the replica's. */
    void onFailure(
            Attempt attempt, Attempt.Failure failure, Optional<MessageHead> head, long nowUs) {
        var replica = attempt.replica();
        switch (failure) {
            case UNSENT -> replica.hold(UNREACHABLE_HOLD_US, nowUs);
            case REJECTED ->
                    head.ifPresent(response -> onRejection(replica, response.status(), nowUs));
            case MAYBE_RUN, TRUNCATED -> learnHealth(replica, false, nowUs);
        }
    }

    private static void onRejection(ReplicaTable.Slot replica, int status, long nowUs) {
        if (status == HttpStatus.MISDIRECTED_REQUEST) {
            replica.suspectUntilUs = nowUs + MISDIRECTED_SUSPECT_US;
        } else if (status == HttpStatus.SERVICE_UNAVAILABLE
                || status == HttpStatus.TOO_MANY_REQUESTS) {
            replica.fullUntilUs = nowUs + FULL_US;
        }
    }

    private void learnHealth(ReplicaTable.Slot replica, boolean well, long nowUs) {
        replica.health.answered(well, nowUs);
        if (!well) {
            replicaTable.judge(
                    replica, replica.health.ok(nowUs), replica.health.bad(nowUs), 0, 0, nowUs);
        }
    }
}
