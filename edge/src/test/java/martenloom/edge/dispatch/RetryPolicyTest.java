package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.edge.dispatch.Attempt.Failure;
import martenloom.edge.dispatch.RetryPolicy.Decision;
import martenloom.routing.route.RouteKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What follows an attempt, by the route, the attempts made and how far the last one got. */
final class RetryPolicyTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final long TOO_LATE_US =
            RequestFixture.ARRIVED_US + RequestFixture.TIMEOUT_US - 1000;
    private static final long IN_TIME_US = TOO_LATE_US - 1;

    /** A request after so many attempts that were sent. */
    private static Request request(RouteKind kind, boolean resumable, int attempts) {
        var request = RequestFixture.request(RequestFixture.route(kind, resumable, MAX_ATTEMPTS));
        for (var i = 0; i < attempts; i++) {
            request.countAttempt();
        }
        request.become(Request.State.RUNNING);
        return request;
    }

    private static Request stream(boolean resumable, int attempts) {
        var request = request(RouteKind.STREAMING, resumable, attempts);
        request.become(Request.State.STREAMING);
        return request;
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, 200, ANSWER",
        "IDEMPOTENT, 404, ANSWER",
        "IDEMPOTENT, 429, ANSWER",
        "IDEMPOTENT, 500, RETRY",
        "IDEMPOTENT, 503, RETRY",
        "NON_IDEMPOTENT, 200, ANSWER",
        "NON_IDEMPOTENT, 500, ANSWER",
        "NON_IDEMPOTENT, 408, FAIL_MAY_HAVE_RUN",
        "NON_IDEMPOTENT, 429, FAIL_MAY_HAVE_RUN",
        "NON_IDEMPOTENT, 503, FAIL_MAY_HAVE_RUN"
    })
    void aResponseIsPassedOnUnlessItMayBeBetterOrPromisesTooMuch(
            RouteKind kind, int status, Decision decision) {
        assertEquals(decision, RetryPolicy.afterResponse(request(kind, false, 1), status));
    }

    @Test
    void theLastResponseIsPassedOn() {
        var request = request(RouteKind.IDEMPOTENT, false, MAX_ATTEMPTS);
        assertEquals(Decision.ANSWER, RetryPolicy.afterResponse(request, 500));
    }

    @Test
    void aStreamCannotGoOnWithAResponse() {
        assertEquals(Decision.ABORT_STREAM, RetryPolicy.afterResponse(stream(true, 1), 200));
    }

    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void whatWasNotSentIsRetriedUntilItsTimeIsOver(RouteKind kind) {
        var request = request(kind, false, MAX_ATTEMPTS);
        assertEquals(
                Decision.RETRY_UNSENT,
                RetryPolicy.afterFailure(request, Failure.UNSENT, IN_TIME_US));
        assertEquals(
                Decision.EXPIRE, RetryPolicy.afterFailure(request, Failure.UNSENT, TOO_LATE_US));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, false, REJECTED, RETRY",
        "IDEMPOTENT, false, MAYBE_RUN, RETRY",
        "NON_IDEMPOTENT, false, REJECTED, RETRY",
        "NON_IDEMPOTENT, false, MAYBE_RUN, FAIL_MAY_HAVE_RUN",
        "STREAMING, true, MAYBE_RUN, RETRY",
        "STREAMING, false, REJECTED, RETRY",
        "STREAMING, false, MAYBE_RUN, FAIL_MAY_HAVE_RUN"
    })
    void whatMayHaveRunIsSentAgainOnlyOnARetriableRoute(
            RouteKind kind, boolean resumable, Failure failure, Decision decision) {
        var request = request(kind, resumable, 1);
        assertEquals(decision, RetryPolicy.afterFailure(request, failure, IN_TIME_US));
    }

    @Test
    void aTruncatedStreamIsResumedOnlyOnAResumableRoute() {
        assertEquals(
                Decision.RESUME,
                RetryPolicy.afterFailure(stream(true, 1), Failure.TRUNCATED, IN_TIME_US));
        assertEquals(
                Decision.ABORT_STREAM,
                RetryPolicy.afterFailure(stream(false, 1), Failure.TRUNCATED, IN_TIME_US));
    }

    @ParameterizedTest
    @EnumSource(
            value = Failure.class,
            names = {"REJECTED", "MAYBE_RUN"})
    void attemptsAreBounded(Failure failure) {
        var request = request(RouteKind.IDEMPOTENT, false, MAX_ATTEMPTS);
        assertEquals(Decision.GIVE_UP, RetryPolicy.afterFailure(request, failure, IN_TIME_US));
    }

    @Test
    void aRequestWaitsForARetryOnlyIfItMayRunAgain() {
        var request = request(RouteKind.NON_IDEMPOTENT, false, 1);
        assertTrue(RetryPolicy.mayWaitForRetry(request), "it was rejected, not run");
        request.markMayHaveRun();
        assertFalse(RetryPolicy.mayWaitForRetry(request));
        var retriable = request(RouteKind.IDEMPOTENT, false, 1);
        retriable.markMayHaveRun();
        assertTrue(RetryPolicy.mayWaitForRetry(retriable));
    }

    @Test
    void replicasAreTriedAgainOnlyWhenThereAreNoOthers() {
        var request = request(RouteKind.IDEMPOTENT, false, 1);
        request.triedReplicas().add("one");
        assertFalse(RetryPolicy.mayRepeatReplicas(request, 2));
        assertTrue(RetryPolicy.mayRepeatReplicas(request, 1));
    }
}
