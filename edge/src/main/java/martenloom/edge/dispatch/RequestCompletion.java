package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.clock.Clocks;
import martenloom.common.clock.ReactorTimer;
import martenloom.edge.http.ErrorResponse;
import martenloom.edge.http.HttpStatus;
import martenloom.edge.overload.OverloadReceiver;

/**
 * The open requests, their deadlines and their ends. A request is ended exactly once: by a
 * response, a rejection, a failure or the abort of its stream. A rejection promises the client that
 * its request was not run, so it is given only where that is so; a stream that has begun can only
 * be aborted. Runs on the reactor thread.
 */
final class RequestCompletion {
    /** The status for a request that a replica may have run, and that is not retried. */
    static final int MAY_HAVE_RUN = HttpStatus.BAD_GATEWAY;

    /** After how long a client may come again when its request found no replica in its time. */
    private static final double RETRY_AFTER_S = 0.3;

    /** The smallest part of a wait that a client is given. */
    private static final double LEAST_WAIT_FACTOR = 0.75;

    private static final int WAIT_STEP = 7;
    private static final int WAIT_STEPS = 100;
    private static final double WAIT_STEPS_PER_UNIT = 200.0;

    private final Eventloop loop;
    private final DispatchCounters counters;
    private final OverloadReceiver overloadReports;
    private final RoundRobinCounter roundRobin;
    private final Map<Request, ReactorTimer> deadlines = new HashMap<>();

    RequestCompletion(
            Eventloop loop,
            DispatchCounters counters,
            OverloadReceiver overloadReports,
            RoundRobinCounter roundRobin) {
        this.loop = loop;
        this.counters = counters;
        this.overloadReports = overloadReports;
        this.roundRobin = roundRobin;
    }

    /** Opens a request, which is ended at its deadline if it isn't before. */
    void open(Request request, long nowUs) {
        var leftUs = request.deadlineUs() - nowUs;
        deadlines.put(request, Clocks.after(loop, leftUs, () -> onDeadline(request)));
    }

    /** The requests that are open, deferred jobs among them. */
    Set<Request> openRequests() {
        return Collections.unmodifiableSet(deadlines.keySet());
    }

    /** Ends a request without an answer from here. */
    void finish(Request request) {
        request.become(Request.State.DONE);
        Optional.ofNullable(deadlines.remove(request)).ifPresent(ReactorTimer::cancel);
        if (request.sink() instanceof ClientConnection client) {
            client.detachRequest();
        }
    }

    /** Ends a request whose complete response is passed on by the caller. */
    void finishServed(Request request) {
        finish(request);
        counters.countServed();
    }

    /** Counts an attempt that was moved off its replica. */
    void countMoved() {
        counters.countMoved();
    }

    /** Ends a request that nobody waits for any longer, and abandons its attempt. */
    void cancel(Request request) {
        if (!request.done()) {
            var attempt = request.attempt();
            finish(request);
            attempt.ifPresent(Attempt::abandon);
        }
    }

    /** Rejects a request, to be sent again after about this wait, unless it may have run. */
    void reject(Request request, double retryAfterS) {
        if (request.streaming()) {
            abortStream(request);
            return;
        }
        if (request.mayHaveRun() && !request.route().retriable()) {
            fail(request, MAY_HAVE_RUN);
            return;
        }
        finish(request);
        counters.countRejected();
        request.withheldBy().forEach(key -> overloadReports.state(key).countRejected());
        request.sink()
                .respond(
                        ErrorResponse.head(HttpStatus.SERVICE_UNAVAILABLE, spreadOut(retryAfterS)),
                        ErrorResponse.noBody());
    }

    /** The wait spread over half its length, so that clients don't come back all at once. */
    private String spreadOut(double retryAfterS) {
        var step = Math.floorMod(roundRobin.next(WAIT_STEP), WAIT_STEPS);
        var factor = LEAST_WAIT_FACTOR + step / WAIT_STEPS_PER_UNIT;
        return String.format(Locale.ROOT, "%.2f", retryAfterS * factor);
    }

    /** Ends a request with an error status. */
    void fail(Request request, int status) {
        if (request.streaming()) {
            abortStream(request);
            return;
        }
        finish(request);
        counters.countFailed();
        request.sink().respond(ErrorResponse.head(status), ErrorResponse.noBody());
    }

    /** Ends a stream in its middle. */
    void abortStream(Request request) {
        finish(request);
        counters.countFailed();
        request.sink().abortStream();
    }

    /** Ends a request that is not retried any more. */
    void giveUp(Request request) {
        endWith(request, MAY_HAVE_RUN);
    }

    /** The time of a request is over; it is ended if it is still open. */
    void onDeadline(Request request) {
        if (request.done()) {
            return;
        }
        counters.countTimedOut();
        terminate(request);
    }

    /** Ends all interactive requests: what has no response gets one, and streams are aborted. */
    void terminateAll() {
        for (var request : List.copyOf(deadlines.keySet())) {
            if (!request.isJob()) {
                terminate(request);
            }
        }
    }

    /** Ends a request whose time is over: by a rejection only if it was never sent. */
    private void terminate(Request request) {
        var attempt = request.attempt();
        if (attempt.isPresent() && !attempt.get().connecting()) {
            request.markMayHaveRun();
        }
        endWith(request, HttpStatus.GATEWAY_TIMEOUT);
        attempt.ifPresent(Attempt::abandon);
    }

    private void endWith(Request request, int statusIfMayHaveRun) {
        if (request.streaming()) {
            abortStream(request);
        } else if (request.mayHaveRun()) {
            fail(request, statusIfMayHaveRun);
        } else {
            reject(request, RETRY_AFTER_S);
        }
    }
}
