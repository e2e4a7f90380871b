package martenloom.core.chain;

/**
 * A member's contact with the heads of views: when it heard one last, how fresh that made its
 * knowledge, and the earliest time at which it may stand for election. Times are microseconds of
 * the member's steady clock.
 */
final class HeadContact {
    /** A member that has heard no head for so long stands for election. */
    static final long HEAD_TIMEOUT_US = 900_000;

    /** A member that heard its head within this time promises nothing to another. */
    private static final long GOOD_CONTACT_US = 600_000;

    private long lastHeardUs;

    /** The newest moment at which a majority is known to have held together, as a head said. */
    private long majorityProvenUs;

    private long noElectionBeforeUs;

    HeadContact(long lastHeardUs, long noElectionBeforeUs) {
        this.lastHeardUs = lastHeardUs;
        this.noElectionBeforeUs = noElectionBeforeUs;
    }

    /** Contact that says nothing of a majority; puts an election off. */
    void heard(long nowUs) {
        lastHeardUs = nowUs;
    }

    /**
     * A message from the head of a view, with the age of its proof of a majority: the only thing
     * that makes this member's knowledge fresh.
     */
    void heardProof(long nowUs, long ageUs) {
        lastHeardUs = nowUs;
        majorityProvenUs = Math.max(majorityProvenUs, nowUs - Math.max(0, ageUs));
    }

    /** From now on only the time set by {@link #noElectionBefore} keeps it from an election. */
    void presumeHeadLost(long nowUs) {
        lastHeardUs = nowUs - HEAD_TIMEOUT_US;
    }

    void noElectionBefore(long timeUs) {
        noElectionBeforeUs = timeUs;
    }

    long noElectionBeforeUs() {
        return noElectionBeforeUs;
    }

    long silenceUs(long nowUs) {
        return nowUs - lastHeardUs;
    }

    boolean isGood(long nowUs) {
        return isGood(nowUs, lastHeardUs);
    }

    /** Whether contact at a time counts as good now. */
    static boolean isGood(long nowUs, long contactUs) {
        return nowUs - contactUs < GOOD_CONTACT_US;
    }

    long majorityProvenUs() {
        return majorityProvenUs;
    }
}
