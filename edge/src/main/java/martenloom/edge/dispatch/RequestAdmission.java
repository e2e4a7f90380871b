package martenloom.edge.dispatch;

import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import martenloom.common.clock.Clocks;
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.http.MessageHead;
import martenloom.edge.replica.LatencyPredictor;

/**
 * Turns what clients and jobs send into requests: finds the route and the service, and rejects what
 * has no route or too little time. Runs on the reactor thread.
 */
final class RequestAdmission {
    /** Services of a route are drawn by its weights in steps of this prime. */

    /** A request with less time left than this is rejected when it comes. */
    private static final long LEAST_LEFT_US = 1000;

    /** After how long a client may come again that had too little time. */
    private static final double RETRY_AFTER_TOO_LATE_S = 0.1;

    /** The wait of clients before the first configuration, less the time since the start. */
    private static final double RETRY_AFTER_START_S = 2;

    private static final double LEAST_RETRY_AFTER_START_S = 0.4;
    private static final double US_PER_S = 1e6;

    private final ClusterView cluster;
    private final ShutdownAdmissionPolicy shutdownPolicy;
    private final ServiceTickets tickets = new ServiceTickets(new Random());
    private final RequestCompletion completion;
    private final AttemptStarter starter;
    private final LatencyPredictor predictor;
    private final long startedUs = Clocks.nowUs();

    RequestAdmission(
            ClusterView cluster,
            ShutdownAdmissionPolicy shutdownPolicy,
            RequestCompletion completion,
            AttemptStarter starter,
            LatencyPredictor predictor) {
        this.cluster = cluster;
        this.shutdownPolicy = shutdownPolicy;
        this.completion = completion;
        this.starter = starter;
        this.predictor = predictor;
    }

    /** Admits the request of a client; empty if it was answered with an error instead. */
    Optional<Request> admit(ClientConnection client, MessageHead head, byte[] body, long nowUs) {
        if (cluster.table().revision() == 0) {
            rejectBeforeConfiguration(client, nowUs);
            return Optional.empty();
        }
        var found = RouteLookup.find(cluster.table(), head);
        if (found.isEmpty()) {
            client.respond(ErrorResponse.head(HttpStatus.NOT_FOUND), ErrorResponse.noBody());
            return Optional.empty();
        }
        var route = found.get();
        var service = route.pickService(tickets.next(route));
        var sink = shutdownPolicy.sinkFor(client, route, nowUs);
        var request = new Request(head, body, route, service, sink, nowUs);
        request.countClientTimeFrom(client.requestBeganUs());
        client.attach(request);
        starter.onRequest(request, nowUs);
        predictor.learnPromptSize(route, request.prompt());
        if (request.deadlineUs() <= nowUs + LEAST_LEFT_US
                || shutdownPolicy.tooLate(request, nowUs)) {
            completion.reject(request, RETRY_AFTER_TOO_LATE_S);
            return Optional.empty();
        }
        return client.request();
    }

    /** Until the first configuration has come, clients are asked to come again soon. */
    private void rejectBeforeConfiguration(ClientConnection client, long nowUs) {
        var waitS =
                Math.max(
                        LEAST_RETRY_AFTER_START_S,
                        RETRY_AFTER_START_S - (nowUs - startedUs) / US_PER_S);
        client.respond(
                ErrorResponse.head(
                        HttpStatus.SERVICE_UNAVAILABLE, String.format(Locale.ROOT, "%.2f", waitS)),
                ErrorResponse.noBody());
    }

    /** The request of a deferred job; empty if it has no route. */
    Optional<Request> admitJob(MessageHead head, byte[] body, ResponseSink sink, long nowUs) {
        return RouteLookup.findForJob(cluster.table(), head)
                .map(
                        route ->
                                new Request(
                                        head,
                                        body,
                                        route,
                                        route.pickService(tickets.next(route)),
                                        sink,
                                        nowUs));
    }
}
