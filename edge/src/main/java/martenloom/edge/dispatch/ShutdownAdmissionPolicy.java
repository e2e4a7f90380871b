package martenloom.edge.dispatch;

import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HttpStatus;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;

/**
 * Decides which requests an edge still admits while it shuts down. Until the moment is known at
 * which everything in flight will be terminated, it admits all. From then on a request is admitted
 * only if it should end before that moment, by the longest time that its route took lately; and a
 * stream that may last longer, by the time-out of its route, is buffered until it is complete. Runs
 * on the reactor thread.
 */
final class ShutdownAdmissionPolicy {
    private final RecentMaximum durations = new RecentMaximum();
    private long terminationUs = Long.MAX_VALUE;

    /** From now on what is in flight at this moment will be terminated. */
    void setTermination(long atUs) {
        terminationUs = atUs;
    }

    /** Learns from a request that was answered in full. */
    void onAnswered(Request request, long nowUs) {
        if (!request.isJob()) {
            durations.record(request.route().name(), nowUs - request.arrivedUs(), nowUs);
        }
    }

    /** What stands before the client of a new request on this route. */
    ResponseSink sinkFor(ClientConnection client, Route route, long nowUs) {
        if (route.kind() != RouteKind.STREAMING || nowUs + route.timeoutUs() <= terminationUs) {
            return client;
        }
        var failure =
                route.retriable() ? HttpStatus.SERVICE_UNAVAILABLE : HttpStatus.GATEWAY_TIMEOUT;
        return new BufferedStream(client, ErrorResponse.head(failure));
    }

    /** Whether a request should not end in time, and has to be rejected. */
    boolean tooLate(Request request, long nowUs) {
        return request.deadlineUs() > terminationUs
                && nowUs + expectedUs(request.route(), nowUs) > terminationUs;
    }

    private long expectedUs(Route route, long nowUs) {
        return durations.maximumUs(route.name(), route.latencyTargetUs(), nowUs);
    }
}
