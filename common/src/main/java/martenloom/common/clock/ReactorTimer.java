package martenloom.common.clock;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;

/**
 * One timer on a reactor. Runs on the reactor thread; cancelling a timer that has fired or was
 * cancelled does nothing.
 */
public final class ReactorTimer {
    private static final int US_PER_MS = 1000;

    private final ScheduledRunnable scheduled;

    ReactorTimer(Eventloop loop, long delayUs, Runnable task) {
        var delayMs = (delayUs + US_PER_MS - 1) / US_PER_MS;
        scheduled = loop.schedule(loop.currentTimeMillis() + delayMs, task);
    }

    /** Keeps the task from running if it has not run yet. */
    public void cancel() {
        if (scheduled.isActive()) {
            scheduled.cancel();
        }
    }
}
