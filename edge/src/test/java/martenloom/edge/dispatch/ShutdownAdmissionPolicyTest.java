package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import martenloom.routing.route.RouteKind;
import org.junit.jupiter.api.Test;

/** An edge that shuts down admits what should end in time, by what its route took lately. */
final class ShutdownAdmissionPolicyTest {
    private static final long NOW_US = RequestFixture.ARRIVED_US;
    private static final long LATENCY_TARGET_US = 500_000;

    private final ShutdownAdmissionPolicy policy = new ShutdownAdmissionPolicy();
    private final Request request =
            RequestFixture.request(RequestFixture.route(RouteKind.IDEMPOTENT, false, 1));

    @Test
    void untilTheEndIsKnownEverythingIsAdmitted() {
        assertFalse(policy.tooLate(request, NOW_US));
    }

    @Test
    void whatMustEndInTimeByItsDeadlineIsAdmitted() {
        policy.setTermination(request.deadlineUs());
        assertFalse(policy.tooLate(request, request.deadlineUs() - 1));
    }

    @Test
    void aRouteThatWasNotSeenIsTakenToMeetItsLatencyTarget() {
        policy.setTermination(NOW_US + LATENCY_TARGET_US);
        assertFalse(policy.tooLate(request, NOW_US));
        assertTrue(policy.tooLate(request, NOW_US + 1));
    }

    @Test
    void aRouteIsTakenToLastAsLongAsItDidLately() {
        policy.setTermination(NOW_US + LATENCY_TARGET_US);
        policy.onAnswered(request, NOW_US + 100_000);
        assertFalse(policy.tooLate(request, NOW_US + LATENCY_TARGET_US - 100_000));
        assertTrue(policy.tooLate(request, NOW_US + LATENCY_TARGET_US - 99_999));
    }

    @Test
    void jobsSayNothingOfTheTimesOfRequests() {
        var job = RequestFixture.request(RequestFixture.route(RouteKind.IDEMPOTENT, false, 1));
        job.makeJob(0, "");
        policy.setTermination(NOW_US + LATENCY_TARGET_US);
        policy.onAnswered(job, NOW_US + LATENCY_TARGET_US * 10);
        assertFalse(policy.tooLate(request, NOW_US));
    }
}
