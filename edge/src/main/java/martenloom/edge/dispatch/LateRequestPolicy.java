package martenloom.edge.dispatch;

import martenloom.routing.route.Route;
import martenloom.routing.route.RouteKind;

/**
 * Decides what an edge that leaves still takes. Until it is told when everything in hand will be
 * ended, it takes all. From then on a request is taken only if it should end before that moment, by
 * the longest time that its route took lately; and a stream that may last longer, by the timeout of
 * its route, is withheld until it is whole.
 */
final class LateRequestPolicy {
    private final LongestSeen longest = new LongestSeen();
    private long endAllUs = Long.MAX_VALUE;

    void takeOnlyUntil(long endUs) {
        endAllUs = endUs;
    }

    /** Told of every request that was answered in full. */
    void onAnswered(Request e, long now) {
        if (e.deferred == 0) {
            longest.took(e.route.name(), now - e.arrivedUs, now);
        }
    }

    /** What stands before the client of a new request on this route. */
    Request.Sink sink(ClientConnection client, Route route, long now) {
        if (route.kind() != RouteKind.STREAMING || now + route.timeoutUs() <= endAllUs) {
            return client;
        }
        return new WithheldStream(
                client, ClientConnection.plain(route.retriable() ? 503 : 504, ""));
    }

    /** Whether a request comes too late to be finished, and has to be refused. */
    boolean tooLate(Request e, long now) {
        return e.deadlineUs > endAllUs
                && now + longest.longestUs(e.route.name(), e.route.latencyTargetUs(), now)
                        > endAllUs;
    }
}
