package martenloom.core.chain;

/**
 * This member's own graceful shutdown: staying, then leaving, then released. A release is taken
 * back whenever another view is begun with this member's promise, for that view may need it.
 */
final class Departure {
    /** When all members leave, newcomers are given so long to join before the last ones end. */
    private static final long NEWCOMERS_JOIN_US = 2_500_000;

    private boolean leaving;
    private long sinceUs;

    /** A chain without this member, which leaves, is known to be active. */
    private boolean released;

    void begin(long nowUs) {
        leaving = true;
        sinceUs = nowUs;
    }

    boolean isLeaving() {
        return leaving;
    }

    void setReleased(boolean withoutThisMember) {
        released = withoutThisMember;
    }

    void revokeRelease() {
        released = false;
    }

    boolean isReleased() {
        return released;
    }

    boolean hasWaitedForNewcomers(long nowUs) {
        return nowUs - sinceUs > NEWCOMERS_JOIN_US;
    }
}
