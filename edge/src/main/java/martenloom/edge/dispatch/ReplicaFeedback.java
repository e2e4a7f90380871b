package martenloom.edge.dispatch;

import java.util.Optional;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * Learns from the events of attempts how healthy and how fast a replica is. Runs on the reactor
 * thread.
 */
final class ReplicaFeedback {
    /** How long a replica that could not be connected to is left alone. */
    private static final long UNREACHABLE_HOLD_US = 700_000;

    private static final long MISDIRECTED_SUSPECT_US = 1_500_000;

    /** How long a replica that rejected a request for lack of capacity is left alone. */
    private static final long SATURATED_US = 60_000;

    /** What a prefill takes besides the time for its tokens. */
    private static final long PREFILL_BASE_US = 15_000;

    /** Only a large prompt with little ahead of it tells the rate of prefill. */
    private static final int LEAST_SAMPLE_TOKENS = 1500;

    private static final int MAX_SAMPLE_TOKENS_AHEAD = 3000;
    private static final long LEAST_SAMPLE_US = 5_000;
    private static final double MAX_TOKENS_PER_MS = 400;
    private static final double US_PER_MS = 1000.0;

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
        var tookUs =
                attempt.firstEventUs()
                        - attempt.sentUs()
                        - replica.latency().roundTripUs()
                        - PREFILL_BASE_US;
        if (tokens > LEAST_SAMPLE_TOKENS
                && attempt.tokensAhead() < MAX_SAMPLE_TOKENS_AHEAD
                && tookUs > LEAST_SAMPLE_US) {
            replicaTable.learnPrefillRate(
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
            replica.latency().onAnswered(nowUs - attempt.sentUs());
        }
    }

    /** An attempt that failed, other than one that was not sent for lack of time. */
    void onFailure(
            Attempt attempt, Attempt.Failure failure, Optional<MessageHead> head, long nowUs) {
        var replica = attempt.replica();
        switch (failure) {
            case UNSENT -> replica.reachability().onUnreachable(UNREACHABLE_HOLD_US, nowUs);
            case REJECTED ->
                    head.ifPresent(response -> onRejection(replica, response.status(), nowUs));
            case MAYBE_RUN, TRUNCATED -> learnHealth(replica, false, nowUs);
        }
    }

    private static void onRejection(ReplicaEndpoint replica, int status, long nowUs) {
        if (status == HttpStatus.MISDIRECTED_REQUEST) {
            replica.reachability().onMisdirected(MISDIRECTED_SUSPECT_US, nowUs);
        } else if (status == HttpStatus.SERVICE_UNAVAILABLE
                || status == HttpStatus.TOO_MANY_REQUESTS) {
            replica.reachability().onSaturated(SATURATED_US, nowUs);
        }
    }

    private void learnHealth(ReplicaEndpoint replica, boolean well, long nowUs) {
        var health = replica.health();
        health.onOutcome(well, nowUs);
        if (!well) {
            replicaTable.ejectIfOutlier(
                    replica, health.successes(nowUs), health.failures(nowUs), 0, 0, nowUs);
        }
    }
}
