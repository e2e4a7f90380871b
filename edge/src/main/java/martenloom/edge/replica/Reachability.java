package martenloom.edge.replica;

/**
 * Whether one replica responds to this edge. A replica that can't be reached or has been silent for
 * longer than its load explains is suspected: it gets nothing for a while, and after that one
 * attempt at a time (it is being probed) until it is heard again. Before it is suspected, the edges
 * of the zone are asked for what they hear, by way of the load reports: this edge is suspecting.
 * Runs on the reactor thread.
 */
public final class Reachability {
    private static final long BACKOFF_MEMORY_US = 10_000_000;

    /** Failures that are closer together than this count as one. */
    private static final long SAME_FAILURE_US = 500_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    private static final long PEER_TOTALS_VALID_US = 700_000;

    /** What this edge heard itself so lately counts for more than the suspicions of others. */
    private static final long HEARD_LATELY_US = 300_000;

    private long heardUs;

    /** Since when an attempt has been sent and nothing heard, in microseconds; 0 for none. */
    private long unansweredSinceUs;

    private long suspectedUntilUs;
    private boolean probing;
    private boolean suspecting;
    private long saturatedUntilUs;
    private int backoffDoublings;
    private long backedOffAtUs;
    private int peerSuspicions;
    private int peersHearing;
    private final PeerTotalsAge peerTotalsAge;

    Reachability(PeerTotalsAge peerTotalsAge, long now) {
        this.peerTotalsAge = peerTotalsAge;
        heardUs = now;
    }

    /** The moment at which bytes of the replica last came, in microseconds. */
    public long heardUs() {
        return heardUs;
    }

    /** Bytes of the replica came. */
    public void onHeard(long now) {
        heardUs = now;
        unansweredSinceUs = 0;
        probing = false;
    }

    /** A request was sent. */
    public void onSent(long now) {
        if (unansweredSinceUs == 0) {
            unansweredSinceUs = now;
        }
    }

    /** Nothing is in flight any more. */
    public void onIdle() {
        unansweredSinceUs = 0;
    }

    /** Whether something was sent and nothing has been heard since. */
    public boolean isUnanswered() {
        return unansweredSinceUs != 0;
    }

    /** Whether the replica gets nothing at this moment. */
    public boolean isSuspected(long now) {
        return now < suspectedUntilUs;
    }

    /** The moment until which the replica gets nothing, in microseconds. */
    public long suspectedUntilUs() {
        return suspectedUntilUs;
    }

    /** Whether it was suspected and has not been heard since. */
    public boolean isProbing() {
        return probing;
    }

    /** Whether the replica has been silent for long enough to ask the other edges of the zone. */
    public boolean isSuspecting() {
        return suspecting;
    }

    /** Sets whether the other edges of the zone are asked for what they hear. */
    public void setSuspecting(boolean suspecting) {
        this.suspecting = suspecting;
    }

    /** The suspicion that this edge reports to the others. */
    public boolean reportsSuspicion(long now) {
        return isSuspected(now) && probing || suspecting;
    }

    /** The replica is silent though it has attempts in flight. */
    public void onUnresponsive(long durationUs, long now) {
        suspectedUntilUs = Math.max(suspectedUntilUs, now + durationUs);
        probing = true;
    }

    /** The replica is not the one that was meant: it gets nothing for a while. */
    public void onMisdirected(long durationUs, long now) {
        suspectedUntilUs = now + durationUs;
    }

    /**
     * The replica could not be reached and is left alone for a while. When that happens by turns,
     * the backoff doubles each time, up to four times its base. A replica that is only silent may
     * be busy, and its backoff does not grow.
     */
    public void onUnreachable(long baseUs, long now) {
        var sinceUs = now - backedOffAtUs;
        if (backedOffAtUs == 0 || sinceUs > BACKOFF_MEMORY_US) {
            backoffDoublings = 0;
        } else if (sinceUs > SAME_FAILURE_US) {
            backoffDoublings = Math.min(MAX_BACKOFF_DOUBLINGS, backoffDoublings + 1);
        }
        backedOffAtUs = now;
        onUnresponsive(baseUs << backoffDoublings, now);
    }

    /** Whether the replica has just rejected a request because it is full. */
    public boolean isSaturated(long now) {
        return now < saturatedUntilUs;
    }

    /** The replica rejected a request because it is full. */
    public void onSaturated(long durationUs, long now) {
        saturatedUntilUs = now + durationUs;
    }

    /** Takes how many other edges of our zone suspect the replica and how many of them hear it. */
    void onPeerTotals(int suspicions, int hearing) {
        peerSuspicions = suspicions;
        peersHearing = hearing;
    }

    /**
     * Whether other edges of our zone, by the last totals, heard the replica though some edge
     * suspects it: it is busy with them, not gone.
     */
    public boolean peersHear(long now) {
        return peersHearing > 0 && peerTotalsAge.isWithin(PEER_TOTALS_VALID_US, now);
    }

    /** Whether other edges of our zone suspect the replica and nobody has heard it lately. */
    public boolean peersSuspect(long now) {
        return peerSuspicions > 0
                && peersHearing <= 0
                && peerTotalsAge.isWithin(PEER_TOTALS_VALID_US, now)
                && now - heardUs > HEARD_LATELY_US;
    }
}
