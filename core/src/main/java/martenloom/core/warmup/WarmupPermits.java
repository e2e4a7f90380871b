package martenloom.core.warmup;

import java.util.HashMap;
import java.util.Map;

/**
 * The sends a second that a cold replica may get, lent out by the homes of its region. A home owns
 * an even share of each replica's allowance (by the most homes the region ever had) and lends it to
 * the edges that ask, first come, each at most its part. What was lent stays counted until it must
 * have ended at the edge and a second more, so that the sum keeps the rule in every window, also
 * while edges change their home. A home that has just started lends nothing until whatever its
 * former life lent has ended.
 */
public final class WarmupPermits {
    /** How long an edge may use what it was lent, from when it asked. */
    public static final long LEASE_US = 1_600_000;

    public static final long HOLD_US = LEASE_US + 1_200_000;

    private static final class Leased {
        int n;
        long untilUs;
    }

    private final Map<String, Map<String, Leased>> byReplica = new HashMap<>();
    private final long opensUs;

    public WarmupPermits(long now, boolean firstStart) {
        opensUs = firstStart ? now : now + HOLD_US;
    }

    /** Lends sends a second at this replica to this edge; 0 when all are lent. */
    public int lend(String replica, String edge, int share, int edges, long now) {
        if (now < opensUs || share < 1) {
            return 0;
        }
        var m = byReplica.computeIfAbsent(replica, k -> new HashMap<>());
        m.values().removeIf(l -> l.untilUs < now);
        var mine = m.computeIfAbsent(edge, k -> new Leased());
        var others = 0;
        for (var l : m.values()) {
            others += l == mine ? 0 : l.n;
        }
        mine.n =
                Math.max(mine.n, Math.min(Math.max(1, share / Math.max(1, edges)), share - others));
        mine.untilUs = now + HOLD_US;
        if (mine.n < 1) {
            m.remove(edge);
            return 0;
        }
        return mine.n;
    }

    /** Forgets what has ended. */
    public void sweep(long now) {
        byReplica
                .values()
                .removeIf(
                        m -> {
                            m.values().removeIf(l -> l.untilUs < now);
                            return m.isEmpty();
                        });
    }
}
