package martenloom.edge;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenloom.common.clock.Clocks;
import martenloom.common.settings.OperatingBounds;
import martenloom.edge.dispatch.ClientConnection;
import martenloom.edge.dispatch.RequestDispatcher;

/**
 * The steps of an edge that leaves, from its SIGTERM to its end. Readiness and the directory leave
 * it out at once, but clients go on coming for as long as their lookups hold, so it serves on, and
 * step by step takes less: first only what should end in time, and of that no stream that could be
 * cut in the middle, then nothing. It ends when nobody waits for it any more, or just before it
 * would be killed.
 *
 * <p>All moments follow from the bounds of the deployment and from the rule on requests that are
 * lost beside a SIGTERM: a request sent in the first three seconds may be cut at the end, a later
 * one may not.
 */
final class Departure {
    /** A request that is whole here by then was surely sent within three seconds of the SIGTERM. */
    private static final long CUT_FORGIVEN_US = 2_800_000;

    /** What is left of the grace period when all that is still in hand is ended. */
    private static final long END_BEFORE_KILL_US = 700_000;

    /** What is left of it when this process ends, whatever it holds. */
    private static final long EXIT_BEFORE_KILL_US = 300_000;

    /** A request must be able to end this long before the others are ended: timers fire late. */
    private static final long SPARE_US = 200_000;

    /**
     * How long before that it begins to look for a moment at which it holds nothing, if lookups
     * hold for as long.
     */
    private static final long CLOSING_UP_US = 1_000_000;

    private static final long POLL_US = 20_000;

    private final Eventloop loop;
    private final RequestDispatcher dispatcher;
    private final Runnable stopListening;
    private final CountDownLatch over = new CountDownLatch(1);
    private final long startUs = Clocks.nowUs();
    private final long closeConnectionsUs;
    private final long limitRequestsUs;
    private final long endWhenFreeUs;
    private final long endAllUs;
    private final long exitUs;

    Departure(
            Eventloop loop,
            RequestDispatcher dispatcher,
            OperatingBounds bounds,
            Runnable stopListening) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.stopListening = stopListening;
        var graceUs = (long) (bounds.gracePeriodS() * 1e6);
        limitRequestsUs = Math.min(CUT_FORGIVEN_US, graceUs / 2);
        closeConnectionsUs = Math.max(0, limitRequestsUs - ClientConnection.IDLE_WHILE_LEAVING_US);
        endAllUs = Math.max(0, graceUs - END_BEFORE_KILL_US);
        endWhenFreeUs =
                Math.max(
                        limitRequestsUs,
                        Math.min((long) (bounds.maxTtlS() * 1e6), endAllUs - CLOSING_UP_US));
        exitUs = Math.max(0, graceUs - EXIT_BEFORE_KILL_US);
    }

    /** Called on the reactor. */
    void begin() {
        at(closeConnectionsUs, dispatcher::closeConnections);
        at(limitRequestsUs, () -> dispatcher.takeOnlyUntil(startUs + endAllUs - SPARE_US));
        at(endWhenFreeUs, this::endWhenFree);
        at(endAllUs, this::endAll);
    }

    /** Called on another thread; returns when the process may end. */
    void await() {
        try {
            over.await(startUs + exitUs - Clocks.nowUs(), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void at(long us, Runnable step) {
        Clocks.after(loop, Math.max(0, startUs + us - Clocks.nowUs()), step);
    }

    private void endAll() {
        takeNothing();
        dispatcher.endAll();
    }

    private void endWhenFree() {
        if (dispatcher.holdsAnything()) {
            Clocks.after(loop, POLL_US, this::endWhenFree);
            return;
        }
        takeNothing();
        loop.post(this::endOrFinish);
    }

    /** What was read in the very moment in which the listener closed is still finished. */
    private void endOrFinish() {
        dispatcher.closeIdle();
        if (dispatcher.holdsAnything()) {
            Clocks.after(loop, POLL_US, this::endOrFinish);
        } else {
            over.countDown();
        }
    }

    private void takeNothing() {
        stopListening.run();
        dispatcher.takeOnlyUntil(0);
    }
}
