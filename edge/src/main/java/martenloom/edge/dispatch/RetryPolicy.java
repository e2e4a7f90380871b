package martenloom.edge.dispatch;

import martenloom.edge.http.HttpStatus;

/**
 * Every rule about retries: what follows a response, a failure or an unresponsive replica. A
 * request that may have run is sent again only when its route is repeatable, and a stream only when
 * its route is resumable. What replicas and budgets allow is decided elsewhere. The functions read
 * the request and change nothing.
 */
final class RetryPolicy {
    /** What follows an attempt. */
    enum Decision {
        /** The response goes to the client. */
        ANSWER,
        /** Another attempt, at another replica if there is one. */
        RETRY,
        /** Another attempt, by which the stream goes on behind its last event. */
        RESUME,
        /** Another attempt as if this one had not been: nothing was sent. */
        RETRY_UNSENT,
        /** The stream ends in its middle. */
        ABORT_STREAM,
        /** The request ends with an error that says that it may have run. */
        FAIL_MAY_HAVE_RUN,
        /** The request ends, as all its attempts were made. */
        GIVE_UP,
        /** The request ends, as its time is over. */
        EXPIRE
    }

    /** An attempt that was sent so shortly ago is not moved off its replica. */
    private static final long LEAST_AGE_TO_MOVE_US = 150_000;

    private RetryPolicy() {}

    /** After a complete response that is no stream. The attempt has been counted. */
    static Decision afterResponse(Request request, int status) {
        if (request.streaming()) {
            return Decision.ABORT_STREAM;
        }
        var repeatable = request.route().retriable();
        if (HttpStatus.isServerError(status) && repeatable && !attemptsExhausted(request)) {
            return Decision.RETRY;
        }
        return promisesNotRun(status) && !repeatable ? Decision.FAIL_MAY_HAVE_RUN : Decision.ANSWER;
    }

    /**
     * Statuses that tell a client that its request was not run: a replica that has run it may not
     * say so through us.
     */
    private static boolean promisesNotRun(int status) {
        return status == HttpStatus.REQUEST_TIMEOUT
                || status == HttpStatus.TOO_MANY_REQUESTS
                || status == HttpStatus.SERVICE_UNAVAILABLE;
    }

    /**
     * After an attempt that failed. It has been counted if it was sent.
     *
     * @param expired whether the request's time is over
     */
    static Decision afterFailure(Request request, Attempt.Failure failure, boolean expired) {
        if (failure == Attempt.Failure.UNSENT) {
            return expired ? Decision.EXPIRE : Decision.RETRY_UNSENT;
        }
        if (failure == Attempt.Failure.TRUNCATED && !request.route().resumable()) {
            return Decision.ABORT_STREAM;
        }
        if (failure != Attempt.Failure.REJECTED && !request.route().retriable()) {
            return Decision.FAIL_MAY_HAVE_RUN;
        }
        if (attemptsExhausted(request)) {
            return Decision.GIVE_UP;
        }
        return request.streaming() ? Decision.RESUME : Decision.RETRY;
    }

    private static boolean attemptsExhausted(Request request) {
        return request.attemptsMade() >= request.route().maxAttempts();
    }

    /**
     * Whether an attempt may be moved off a replica that is unresponsive, which counts as a retry.
     */
    static boolean mayMove(Attempt attempt, long nowUs) {
        var request = attempt.request();
        return !request.done()
                && request.route().retriable()
                && !attempt.connecting()
                && !attempt.over()
                && request.attemptsMade() + 1 < request.route().maxAttempts()
                && nowUs - attempt.sentUs() >= LEAST_AGE_TO_MOVE_US;
    }

    /** Whether a request that cannot be sent now may wait for another attempt. */
    static boolean mayWaitForRetry(Request request) {
        return request.attemptsMade() == 0 || !request.mayHaveRun() || request.route().retriable();
    }
}
