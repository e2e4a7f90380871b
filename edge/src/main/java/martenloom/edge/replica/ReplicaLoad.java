package martenloom.edge.replica;

/**
 * The load of one replica: what this edge has in flight there, and what the other edges have by the
 * last totals that came. Totals that are too old count as nothing. Runs on the reactor thread.
 */
public final class ReplicaLoad {
    private static final long PEER_TOTALS_VALID_US = 1_500_000;

    private int ownInFlight;
    private int ownPendingPrefillTokens;
    private int peerInFlight;
    private int peerPendingPrefillTokens;
    private final PeerTotalsAge peerTotalsAge;

    /**
     * @param peerTotalsAge when the totals of the other edges last came
     */
    ReplicaLoad(PeerTotalsAge peerTotalsAge) {
        this.peerTotalsAge = peerTotalsAge;
    }

    /** An attempt begins that makes the replica prefill so many tokens. */
    public void onAttempt(int prefillTokens) {
        ownInFlight++;
        ownPendingPrefillTokens += prefillTokens;
    }

    /** An attempt has ended. */
    public void onAttemptEnd() {
        ownInFlight--;
    }

    /** The prefill of an attempt is over, or will not happen. */
    public void onPrefillEnd(int prefillTokens) {
        ownPendingPrefillTokens -= prefillTokens;
    }

    /** Takes what the other edges have here. */
    void onPeerTotals(int inFlight, int pendingPrefillTokens) {
        peerInFlight = Math.max(0, inFlight);
        peerPendingPrefillTokens = Math.max(0, pendingPrefillTokens);
    }

    /** The attempts of this edge in flight. */
    public int ownInFlight() {
        return ownInFlight;
    }

    /** The attempts of the other edges in flight. */
    public int peerInFlight(long now) {
        return peerTotalsAge.isWithin(PEER_TOTALS_VALID_US, now) ? peerInFlight : 0;
    }

    /** The attempts of all edges in flight. */
    public int inFlight(long now) {
        return ownInFlight + peerInFlight(now);
    }

    /** The tokens that attempts of this edge make the replica prefill and that it has yet to. */
    public int ownPendingPrefillTokens() {
        return ownPendingPrefillTokens;
    }

    /** The tokens that all edges wait for the replica to prefill. */
    public int pendingPrefillTokens(long now) {
        return ownPendingPrefillTokens + peerPendingPrefillTokens(now);
    }

    private int peerPendingPrefillTokens(long now) {
        return peerTotalsAge.isWithin(PEER_TOTALS_VALID_US, now) ? peerPendingPrefillTokens : 0;
    }
}
