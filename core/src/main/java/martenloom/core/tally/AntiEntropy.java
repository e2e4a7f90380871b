package martenloom.core.tally;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides what to fetch from whom. Adds are pushed by the daemon that took them, so only what some
 * peer held a round ago and is still missing here is fetched: of each origin from one peer at a
 * time, the first that answers, so that a daemon that was cut off is not sent the same by all. Not
 * thread-safe.
 */
final class AntiEntropy {
    /** A fetch without an answer for so many rounds may be made at another peer. */
    private static final int FETCH_ROUNDS = 3;

    private final Map<Long, Fetching> fetching = new HashMap<>();

    /** What peers have told to hold, before this round and in it. */
    private VersionVector heldBefore = new VersionVector();

    private final VersionVector heldNow = new VersionVector();
    private long round;

    private record Fetching(String ip, long round) {}

    void beginRound() {
        round++;
        heldBefore = heldNow.copy();
        fetching.values().removeIf(each -> round - each.round > FETCH_ROUNDS);
    }

    /** A peer has told how many adds of an origin it holds. */
    void onReport(long origin, long count) {
        heldNow.raise(origin, count);
    }

    /**
     * Whether to fetch from a peer now; if so, the fetch counts as begun.
     *
     * @param held how many adds of the origin are held here
     * @param peerHeld how many the peer holds
     */
    boolean beginFetch(String ip, long origin, long held, long peerHeld) {
        var overdue = Math.min(heldBefore.held(origin), peerHeld) > held;
        return overdue && begin(ip, origin);
    }

    /** A push from a peer left a gap; whether to fetch from it, which then counts as begun. */
    boolean beginFetchOfGap(String ip, long origin) {
        return begin(ip, origin);
    }

    private boolean begin(String ip, long origin) {
        return fetching.putIfAbsent(origin, new Fetching(ip, round)) == null;
    }

    /**
     * Adds from a peer are durable. Whether to go on with a fetch at this peer, which then counts
     * as begun; else a fetch of this origin there has ended.
     */
    boolean continueFetch(String ip, long origin, long held) {
        var current = fetching.get(origin);
        if (current == null || !current.ip.equals(ip)) {
            return false;
        }
        fetching.remove(origin);
        return heldNow.held(origin) > held && begin(ip, origin);
    }
}
