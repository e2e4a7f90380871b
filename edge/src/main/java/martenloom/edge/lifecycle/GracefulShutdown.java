package martenloom.edge.lifecycle;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenloom.common.clock.Clocks;
import martenloom.common.settings.OperatingBounds;
import martenloom.edge.dispatch.ClientConnection;
import martenloom.edge.dispatch.RequestDispatcher;

/**
 * The steps of a graceful shutdown, from the SIGTERM to the end of the process. Readiness and the
 * directory leave the edge out at once, but clients keep coming for as long as their lookups are
 * valid, so it serves on and admits less, step by step: first only what should end in time, and of
 * that no stream that might be truncated, then nothing. It ends when nobody waits for it any more,
 * or just before it would be killed.
 *
 * <p>All moments follow from the bounds of the deployment and from the rule on requests that are
 * lost beside a SIGTERM: a request sent in the first three seconds may be cut off at the end, a
 * later one may not. Runs on the reactor thread, but for the constructor and {@link #await}.
 */
public final class GracefulShutdown {
    private static final long US_PER_SECOND = 1_000_000;

    /**
     * A request that is complete here by then was surely sent within three seconds of the SIGTERM.
     */
    private static final long CUT_FORGIVEN_US = 2_800_000;

    /** What is left of the grace period when all that is still in flight is ended. */
    private static final long END_BEFORE_KILL_US = 700_000;

    /** What is left of it when this process ends, whatever is in flight. */
    private static final long EXIT_BEFORE_KILL_US = 300_000;

    /** A request must be able to end this long before the others are ended: timers fire late. */
    private static final long TIMER_MARGIN_US = 200_000;

    /**
     * How long before that it begins to look for a moment at which nothing is in flight, if lookups
     * are valid for as long.
     */
    private static final long DRAIN_BEFORE_END_US = 1_000_000;

    private static final long POLL_US = 20_000;

    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final Runnable stopListening;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final long startUs = Clocks.nowUs();

    // ---- the moments of the steps, in microseconds from the start

    private final long closeConnectionsUs;
    private final long limitRequestsUs;
    private final long endWhenIdleUs;
    private final long endAllUs;
    private final long exitUs;

    /**
     * Plans the steps.
     *
     * @param stopListening closes the listener for clients
     */
    public GracefulShutdown(
            Eventloop loop,
            RequestDispatcher dispatcher,
            OperatingBounds bounds,
            Runnable stopListening) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.stopListening = stopListening;
        var graceUs = (long) (bounds.gracePeriodS() * US_PER_SECOND);
        limitRequestsUs = Math.min(CUT_FORGIVEN_US, graceUs / 2);
        closeConnectionsUs =
                Math.max(0, limitRequestsUs - ClientConnection.MAX_IDLE_IN_SHUTDOWN_US);
        endAllUs = Math.max(0, graceUs - END_BEFORE_KILL_US);
        endWhenIdleUs =
                Math.max(
                        limitRequestsUs,
                        Math.min(
                                (long) (bounds.maxTtlS() * US_PER_SECOND),
                                endAllUs - DRAIN_BEFORE_END_US));
        exitUs = Math.max(0, graceUs - EXIT_BEFORE_KILL_US);
    }

    /** Schedules the steps. */
    public void begin() {
        at(closeConnectionsUs, dispatcher::beginClosingConnections);
        at(limitRequestsUs, () -> dispatcher.admitOnlyUntil(startUs + endAllUs - TIMER_MARGIN_US));
        at(endWhenIdleUs, this::endWhenIdle);
        at(endAllUs, this::endAll);
    }

    /** Called on another thread; returns when the process may end. */
    public void await() {
        try {
            ended.await(startUs + exitUs - Clocks.nowUs(), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void at(long sinceStartUs, Runnable step) {
        Clocks.after(loop, Math.max(0, startUs + sinceStartUs - Clocks.nowUs()), step);
    }

    private void endAll() {
        admitNothing();
        dispatcher.terminateAll();
    }

    private void endWhenIdle() {
        if (dispatcher.hasPendingWork()) {
            Clocks.after(loop, POLL_US, this::endWhenIdle);
            return;
        }
        admitNothing();
        loop.post(this::endOrFinish);
    }

    /** What was read in the very moment in which the listener closed is still finished. */
    private void endOrFinish() {
        dispatcher.closeIdleConnections();
        if (dispatcher.hasPendingWork()) {
            Clocks.after(loop, POLL_US, this::endOrFinish);
        } else {
            ended.countDown();
        }
    }

    private void admitNothing() {
        stopListening.run();
        dispatcher.admitOnlyUntil(0);
    }
}
