package martenloom.core.chain;

/**
 * A member's contact with the heads of views: the last contact, how fresh that made its knowledge,
 * and the earliest time at which it may stand for election. Times are microseconds of the member's
 * steady clock.
 */
final class HeadContact {
    /** A member without contact for so long stands for election. */
    static final long HEAD_TIMEOUT_US = 900_000;

    /** A member with contact within this time promises nothing to another candidate. */
    private static final long GOOD_CONTACT_US = 600_000;

    private long lastContactUs;

    /** The newest moment at which a majority is known to have held together, as a head said. */
    private long majorityProvenUs;

    private long noElectionBeforeUs;

    HeadContact(long lastContactUs, long noElectionBeforeUs) {
        this.lastContactUs = lastContactUs;
        this.noElectionBeforeUs = noElectionBeforeUs;
    }

    /** Contact that says nothing of a majority; puts an election off. */
    void onContact(long nowUs) {
        lastContactUs = nowUs;
    }

    /**
     * A message from the head of a view, with the age of its proof of a majority: the only thing
     * that makes this member's knowledge fresh.
     */
    void onMajorityProof(long nowUs, long ageUs) {
        lastContactUs = nowUs;
        majorityProvenUs = Math.max(majorityProvenUs, nowUs - Math.max(0, ageUs));
    }

    /** From now on only the time set by {@link #noElectionBefore} keeps it from an election. */
    void presumeHeadLost(long nowUs) {
        lastContactUs = nowUs - HEAD_TIMEOUT_US;
    }

    void noElectionBefore(long timeUs) {
        noElectionBeforeUs = timeUs;
    }

    long noElectionBeforeUs() {
        return noElectionBeforeUs;
    }

    long silenceUs(long nowUs) {
        return nowUs - lastContactUs;
    }

    boolean isGood(long nowUs) {
        return isGood(nowUs, lastContactUs);
    }

    /** Whether contact at a time counts as good now. */
    static boolean isGood(long nowUs, long contactUs) {
        return nowUs - contactUs < GOOD_CONTACT_US;
    }

    long majorityProvenUs() {
        return majorityProvenUs;
    }
}
