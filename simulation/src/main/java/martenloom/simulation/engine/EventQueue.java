package martenloom.simulation.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time and the events due in it; events of the same moment run in the order in which they
 * were entered.
 */
public final class EventQueue {
    private record Entry(long atUs, long order, Runnable action) {}

    private static final Comparator<Entry> BY_TIME =
            Comparator.comparingLong(Entry::atUs).thenComparingLong(Entry::order);
    private final PriorityQueue<Entry> entries = new PriorityQueue<>(BY_TIME);
    private long nowUs = 1_000_000;
    private long entered;

    public long nowUs() {
        return nowUs;
    }

    public void after(long delayUs, Runnable action) {
        at(nowUs + Math.max(0, delayUs), action);
    }

    public void at(long timeUs, Runnable action) {
        entries.add(new Entry(Math.max(nowUs, timeUs), entered++, action));
    }

    public void every(long periodUs, Runnable action) {
        after(
                periodUs,
                () -> {
                    action.run();
                    every(periodUs, action);
                });
    }

    /**
     * Runs the next event, if it is due no later than the given time; otherwise moves the time
     * there.
     */
    public boolean stepUntil(long timeUs) {
        var next = entries.peek();
        if (next == null || next.atUs > timeUs) {
            nowUs = Math.max(nowUs, timeUs);
            return false;
        }
        entries.poll();
        nowUs = next.atUs;
        next.action.run();
        return true;
    }
}
