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
import martenloom.edge.overload.OverloadReceiver;

/**
 * The requests that are open, their deadlines and their ends. A request is ended exactly once: by
 * an answer, a refusal, a failure or a cut of its stream. A refusal promises the client that its
 * request was not run, so it is given only where that is so; a stream that has begun can only be
 * cut. All methods run on the thread of the reactor.
 */
final class RequestCompletion {
    static final int MAY_HAVE_RUN = 502;
    private static final int REFUSED = 503;
    private static final int OUT_OF_TIME = 504;

    /** After how long a client may come again when its request found no replica in its time. */
    private static final double REFUSED_WAIT_S = 0.3;

    private static final byte[] NO_BODY = new byte[0];

    private final Eventloop loop;
    private final RequestDispatcher.Counters counters;
    private final OverloadReceiver reports;
    private final SpreadCounter spread;
    private final Map<Request, ReactorTimer> deadlines = new HashMap<>();

    RequestCompletion(
            Eventloop loop,
            RequestDispatcher.Counters counters,
            OverloadReceiver reports,
            SpreadCounter spread) {
        this.loop = loop;
        this.counters = counters;
        this.reports = reports;
        this.spread = spread;
    }

    /** Opens a request, which is ended at its deadline if it isn't before. */
    void open(Request request, long now) {
        var left = request.deadlineUs - now;
        deadlines.put(request, Clocks.after(loop, left, () -> onDeadline(request)));
    }

    /** The requests that are open, deferred jobs among them. */
    Set<Request> openRequests() {
        return Collections.unmodifiableSet(deadlines.keySet());
    }

    /** Ends a request whose answer is passed on by the caller. */
    void finish(Request request) {
        request.become(Request.State.DONE);
        Optional.ofNullable(deadlines.remove(request)).ifPresent(ReactorTimer::cancel);
        if (request.sink instanceof ClientConnection client) {
            client.request = Optional.empty();
        }
    }

    /** Ends a request that nobody waits for any longer, and gives its attempt up. */
    void drop(Request request) {
        if (!request.done()) {
            var attempt = request.attempt;
            finish(request);
            attempt.ifPresent(Attempt::giveUp);
        }
    }

    /** Refuses a request, to be sent again after about this wait, unless it may have run. */
    void refuse(Request request, double waitS) {
        if (request.state() == Request.State.STREAMING) {
            cutOff(request);
            return;
        }
        if (request.mayHaveRun && !request.route.retriable()) {
            fail(request, MAY_HAVE_RUN);
            return;
        }
        finish(request);
        counters.refused++;
        request.keptAway.forEach(key -> reports.state(key).countRejected());
        request.sink.whole(ClientConnection.plain(REFUSED, spreadWait(waitS)), NO_BODY);
    }

    /** The wait spread over half its length, so that clients don't come back all at once. */
    private String spreadWait(double waitS) {
        var factor = 0.75 + Math.floorMod(spread.next(7), 100) / 200.0;
        return String.format(Locale.ROOT, "%.2f", waitS * factor);
    }

    /** Ends a request with an error status. */
    void fail(Request request, int status) {
        if (request.state() == Request.State.STREAMING) {
            cutOff(request);
            return;
        }
        finish(request);
        counters.failed++;
        request.sink.whole(ClientConnection.plain(status, ""), NO_BODY);
    }

    /** Ends a stream in its middle. */
    void cutOff(Request request) {
        finish(request);
        counters.failed++;
        request.sink.cut();
    }

    /** Ends a request for which there are no further attempts. */
    void giveUp(Request request) {
        endWith(request, MAY_HAVE_RUN);
    }

    /** The time of a request is over; it is ended if it is still open. */
    void onDeadline(Request request) {
        if (request.done()) {
            return;
        }
        counters.timeouts++;
        endUnfinished(request);
    }

    /** A final answer for a request whose time is over: a promise only where it never ran. */
    void endUnfinished(Request request) {
        var attempt = request.attempt;
        var sent = attempt.isPresent() && attempt.get().state() != Attempt.State.OPENING;
        request.mayHaveRun |= sent;
        endWith(request, OUT_OF_TIME);
        attempt.ifPresent(Attempt::giveUp);
    }

    /** Ends all interactive requests: what has no answer gets one, and streams are cut. */
    void endAll() {
        for (var request : List.copyOf(deadlines.keySet())) {
            if (request.deferred == 0) {
                endUnfinished(request);
            }
        }
    }

    private void endWith(Request request, int statusIfMayHaveRun) {
        if (request.state() == Request.State.STREAMING) {
            cutOff(request);
        } else if (request.mayHaveRun) {
            fail(request, statusIfMayHaveRun);
        } else {
            refuse(request, REFUSED_WAIT_S);
        }
    }
}
