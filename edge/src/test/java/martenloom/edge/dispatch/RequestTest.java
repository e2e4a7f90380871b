package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Deadlines by client and route, and the head with which a request is forwarded. */
final class RequestTest {
    private static final long ARRIVED_US = RequestFixture.ARRIVED_US;
    private static final Route ROUTE = RequestFixture.route(RouteKind.IDEMPOTENT, false, 1);

    @Test
    void theDeadlineIsThatOfTheRouteOrOfTheClientIfThatIsSooner() {
        var routeDeadlineUs = ARRIVED_US + RequestFixture.TIMEOUT_US;
        assertEquals(routeDeadlineUs, RequestFixture.request(ROUTE).deadlineUs());
        var patient = RequestFixture.request(ROUTE, "X-Time-Remaining", "9000");
        assertEquals(routeDeadlineUs, patient.deadlineUs());
        var hurried = RequestFixture.request(ROUTE, "X-Time-Remaining", "300");
        assertEquals(ARRIVED_US + 300_000, hurried.deadlineUs());
        assertEquals(300_000, hurried.totalTimeUs());
        var malformed = RequestFixture.request(ROUTE, "X-Time-Remaining", "soon");
        assertEquals(routeDeadlineUs, malformed.deadlineUs());
    }

    @Test
    void theTimeOfTheClientRunsFromTheFirstByte() {
        var request = RequestFixture.request(ROUTE, "X-Time-Remaining", "300");
        request.countClientTimeFrom(ARRIVED_US - 40_000);
        assertEquals(ARRIVED_US + 260_000, request.deadlineUs());
        var unlimited = RequestFixture.request(ROUTE);
        unlimited.countClientTimeFrom(ARRIVED_US - 40_000);
        assertEquals(ARRIVED_US + RequestFixture.TIMEOUT_US, unlimited.deadlineUs());
    }

    @Test
    void aJobResumesBehindItsLastEvent() {
        var request = RequestFixture.request(ROUTE, "Last-Event-Id", "3");
        assertFalse(request.isJob());
        assertEquals("3", request.lastEventId());
        request.makeJob(0, "5");
        assertTrue(request.isJob());
        assertEquals("5", request.lastEventId());
    }

    @Test
    void aRequestIsForwardedWithWhatTheReplicaNeeds() {
        var request =
                RequestFixture.request(
                        ROUTE,
                        "Host",
                        "h",
                        "Expect",
                        "100-continue",
                        "Connection",
                        "close",
                        "Content-Length",
                        "0",
                        "X-Model",
                        "m",
                        "Last-Event-Id",
                        "3");
        assertEquals(
                "POST /path HTTP/1.1\r\n"
                        + "Host: h\r\n"
                        + "X-Model: m\r\n"
                        + "X-Time-Remaining: 250\r\n"
                        + "X-Target-Instance: replica\r\n"
                        + "X-Request-Priority: 3\r\n"
                        + "Last-Event-Id: 3\r\n"
                        + "Content-Length: 0\r\n\r\n",
                forwarded(request));
    }

    @Test
    void jobsAreForwardedBehindAllOthers() {
        var request = RequestFixture.request(ROUTE, "X-Model", "m");
        request.makeJob(2, "");
        assertTrue(forwarded(request).contains("X-Request-Priority: 8\r\n"));
        request.makeJob(1, "");
        assertTrue(forwarded(request).contains("X-Request-Priority: 9\r\n"));
    }

    private static String forwarded(Request request) {
        var head = ForwardedHead.of(request, "replica", 250);
        return new String(head.encode(), StandardCharsets.ISO_8859_1);
    }
}
