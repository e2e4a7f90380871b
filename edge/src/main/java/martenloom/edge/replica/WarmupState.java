package martenloom.edge.replica;

import java.util.ArrayDeque;

/**
 * The warm-up of one replica: until when it lasts, and what this edge sent in the last second, for
 * a replica that warms up may only get so much. Runs on the reactor thread.
 */
public final class WarmupState {
    /** A second, and a little for the way to the replica. */
    private static final long SEND_WINDOW_US = 1_050_000;

    private static final int MAX_SENDS = 256;

    /** No earlier than this the replica counts as warm, whatever the registry says. */
    private long minWarmAtUs;

    private final ArrayDeque<Long> sends = new ArrayDeque<>();

    /** The replica warms up until then at least. */
    public void extend(long untilUs) {
        minWarmAtUs = Math.max(minWarmAtUs, untilUs);
    }

    /**
     * Whether the replica is warm.
     *
     * @param registeredWarmAtUs the end of its warm-up by the registry
     */
    boolean isWarm(long registeredWarmAtUs, long now) {
        return now >= Math.max(registeredWarmAtUs, minWarmAtUs);
    }

    /** The requests sent in the last second. */
    public int recentSends(long now) {
        while (!sends.isEmpty() && now - sends.peekFirst() > SEND_WINDOW_US) {
            sends.pollFirst();
        }
        return sends.size();
    }

    /** A request was sent. */
    public void onSent(long now) {
        sends.addLast(now);
        while (sends.size() > MAX_SENDS) {
            sends.pollFirst();
        }
    }
}
