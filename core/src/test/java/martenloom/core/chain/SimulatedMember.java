package martenloom.core.chain;

import java.util.Optional;

/** One machine of a simulated chain: its disk, its process while up, and the write under way. */
final class SimulatedMember {
    private static final long NEVER_US = Long.MAX_VALUE;

    private final String address;
    private Optional<PersistentMemberState> disk = Optional.empty();
    private Optional<ChainMember> process = Optional.empty();
    private Optional<ChainEffect.PersistState> pendingWrite = Optional.empty();
    private long writeDoneUs;
    private long restartAtUs;

    /** Its graceful shutdown: since when (0 while it stays), and what becomes of it then. */
    private long leavingSinceUs;

    private long leaveRequestedUs;
    private boolean leaveAcknowledged;
    private boolean leavesForGood;

    SimulatedMember(String address) {
        this.address = address;
    }

    String address() {
        return address;
    }

    // ---- process

    boolean isUp() {
        return process.isPresent();
    }

    /** The process, which must be up. */
    ChainMember chain() {
        return process.orElseThrow();
    }

    boolean isHead() {
        return isUp() && chain().isHead();
    }

    boolean hasLearned() {
        return isUp() && chain().role() != MemberRole.LEARNER;
    }

    void start(ChainMember started) {
        process = Optional.of(started);
        leavingSinceUs = 0;
        leaveAcknowledged = false;
    }

    void stop() {
        process = Optional.empty();
        pendingWrite = Optional.empty();
    }

    void restartAt(long timeUs) {
        restartAtUs = timeUs;
    }

    void stayDown() {
        restartAt(NEVER_US);
    }

    boolean isDueToRestart(long nowUs) {
        return !isUp() && nowUs >= restartAtUs;
    }

    // ---- disk

    Optional<PersistentMemberState> disk() {
        return disk;
    }

    void putOnDisk(PersistentMemberState state) {
        disk = Optional.of(state);
    }

    void eraseDisk() {
        disk = Optional.empty();
    }

    void beginWrite(ChainEffect.PersistState write, long doneUs) {
        pendingWrite = Optional.of(write);
        writeDoneUs = doneUs;
    }

    Optional<ChainEffect.PersistState> pendingWrite() {
        return pendingWrite;
    }

    /** Ends the write under way if it is time, and hands it over. */
    Optional<ChainEffect.PersistState> finishWrite(long nowUs) {
        var done = pendingWrite.filter(write -> isUp() && nowUs >= writeDoneUs);
        if (done.isPresent()) {
            putOnDisk(done.get().memberState());
            pendingWrite = Optional.empty();
        }
        return done;
    }

    // ---- graceful shutdown

    void beginLeaving(long nowUs, boolean forGood) {
        leavingSinceUs = nowUs;
        leaveRequestedUs = 0;
        leavesForGood = forGood;
        chain().startLeaving(nowUs);
    }

    boolean isLeaving() {
        return leavingSinceUs > 0;
    }

    boolean leavesForGood() {
        return leavesForGood;
    }

    long leavingForUs(long nowUs) {
        return nowUs - leavingSinceUs;
    }

    /** Whether it is time to ask to be let go, for the first time or again; then it counts. */
    boolean takeLeaveRequest(long nowUs, long intervalUs) {
        if (nowUs - leaveRequestedUs <= intervalUs) {
            return false;
        }
        leaveRequestedUs = nowUs;
        return true;
    }

    void onLeaveAcknowledged() {
        leaveAcknowledged = true;
    }

    boolean mayTerminate(long nowUs) {
        var isRequestDone = leaveAcknowledged || chain().role() == MemberRole.LEARNER;
        return isRequestDone && chain().mayTerminate(nowUs);
    }

    /** Whether the state is left to others, so that the disk may go. */
    boolean leavesStateToOthers() {
        var roster = chain().committed().roster();
        return !roster.departed().containsAll(roster.members());
    }

    @Override
    public String toString() {
        return address
                + " "
                + process.map(
                                chain ->
                                        chain.role()
                                                + " chain "
                                                + chain.chain()
                                                + " "
                                                + chain.memberState().state().roster())
                        .orElse("down");
    }
}
