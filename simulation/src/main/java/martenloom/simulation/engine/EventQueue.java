package martenloom.simulation.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue and the clock of a discrete-event simulation. Events of the same moment run in
 * the order in which they were scheduled, which makes a run repeatable. Single-threaded.
 */
public final class EventQueue {
    private static final long START_US = 1_000_000;

    private record Event(long atUs, long order, Runnable action) {}

    private static final Comparator<Event> BY_TIME =
            Comparator.comparingLong(Event::atUs).thenComparingLong(Event::order);

    private final PriorityQueue<Event> events = new PriorityQueue<>(BY_TIME);
    private long nowUs = START_US;
    private long scheduled;

    /** The simulated time. */
    public long nowUs() {
        return nowUs;
    }

    /** Schedules an action a while from now; a negative delay counts as none. */
    public void after(long delayUs, Runnable action) {
        at(nowUs + Math.max(0, delayUs), action);
    }

    /** Schedules an action for a moment; one that has passed counts as now. */
    public void at(long timeUs, Runnable action) {
        events.add(new Event(Math.max(nowUs, timeUs), scheduled++, action));
    }

    /** Runs an action once every period, for the first time when one period has passed. */
    public void every(long periodUs, Runnable action) {
        after(
                periodUs,
                () -> {
                    action.run();
                    every(periodUs, action);
                });
    }

    /**
     * Runs the next event, if it is due no later than the given time; otherwise advances the clock
     * to that time and returns false.
     */
    public boolean stepUntil(long timeUs) {
        var next = events.peek();
        if (next == null || next.atUs > timeUs) {
            nowUs = Math.max(nowUs, timeUs);
            return false;
        }
        events.poll();
        nowUs = next.atUs;
        next.action.run();
        return true;
    }
}
