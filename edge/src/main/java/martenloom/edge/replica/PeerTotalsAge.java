package martenloom.edge.replica;

/**
 * When the totals over all edges last came. What was told of a replica holds until it is told
 * otherwise, as long as totals keep coming at all. Runs on the reactor thread.
 */
public final class PeerTotalsAge {
    private long receivedUs;

    /** Totals have come, of some replicas or of all. */
    public void onReceived(long nowUs) {
        receivedUs = nowUs;
    }

    /** Whether totals came within this time. */
    boolean isWithin(long limitUs, long nowUs) {
        return nowUs - receivedUs < limitUs;
    }
}
