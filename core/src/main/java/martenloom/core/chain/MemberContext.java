package martenloom.core.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import martenloom.core.state.ClusterState;
import martenloom.core.state.ResultCode;

/**
 * What the parts of one chain member share: who it is, its role, its clock, what it keeps, and the
 * effects it asks of its owner. Runs on the owner's thread.
 */
final class MemberContext {
    /** No election so soon after the start: a running head gets the time to announce itself. */
    private static final long FIRST_ELECTION_AFTER_US = 150_000;

    /** Notified of each change of the role, before it takes place. */
    interface RoleListener {
        void onRoleChange(MemberRole previous, MemberRole next);
    }

    private final String address;
    private final long incarnation;
    private final Comparator<String> proximity;
    private final RoleListener roleListener;
    private final List<ChainEffect> effects = new ArrayList<>();
    private final DurableState disk;
    private final ViewState view = new ViewState();
    private final HeadContact contact;
    private final Departure departure = new Departure();
    private final CommittedState committed;

    /** The time of the newest event, by the steady clock of the owner; never falls. */
    private long nowUs;

    private MemberRole role;

    /** The highest number of a ballot seen in any message. */
    private long highestBallotNumber;

    /**
     * @param incarnation drawn at the start of the process, so that nothing meant for a former
     *     start can teach this member
     * @param proximity the order of the chain: near members first
     */
    MemberContext(
            String address,
            long incarnation,
            Optional<PersistentMemberState> kept,
            Comparator<String> proximity,
            long nowUs,
            RoleListener roleListener) {
        this.address = address;
        this.incarnation = incarnation;
        this.proximity = proximity;
        this.nowUs = nowUs;
        this.roleListener = roleListener;
        role = kept.isPresent() ? MemberRole.IDLE : MemberRole.LEARNER;
        disk = new DurableState(kept.orElseGet(MemberContext::emptyDisk), effects::add);
        committed =
                new CommittedState(ClusterState.founded(state().roster().members()), effects::add);
        contact =
                new HeadContact(
                        nowUs - HeadContact.HEAD_TIMEOUT_US, nowUs + FIRST_ELECTION_AFTER_US);
        highestBallotNumber = promised().number();
    }

    private static PersistentMemberState emptyDisk() {
        return new PersistentMemberState(Ballot.ZERO, Ballot.ZERO, ClusterState.founded(List.of()));
    }

    // ---- identity and time

    String address() {
        return address;
    }

    long incarnation() {
        return incarnation;
    }

    Comparator<String> proximity() {
        return proximity;
    }

    void advanceTo(long timeUs) {
        nowUs = Math.max(nowUs, timeUs);
    }

    long nowUs() {
        return nowUs;
    }

    // ---- role

    MemberRole role() {
        return role;
    }

    boolean is(MemberRole expected) {
        return role == expected;
    }

    boolean isHead() {
        return role == MemberRole.HEAD;
    }

    /** The one place at which the role changes. */
    void become(MemberRole next) {
        roleListener.onRoleChange(role, next);
        role = next;
    }

    // ---- what it knows of views, heads and committed states

    ViewState view() {
        return view;
    }

    HeadContact contact() {
        return contact;
    }

    Departure departure() {
        return departure;
    }

    CommittedState committed() {
        return committed;
    }

    /** Commits the accepted state, if it is the one of an edition accepted in a view. */
    void commit(Ballot ballot, long edition) {
        if (accepted().equals(ballot) && state().edition() == edition) {
            committed.commit(state());
        }
    }

    void observeBallotNumber(long number) {
        highestBallotNumber = Math.max(highestBallotNumber, number);
    }

    /** A ballot of this member above all that it has seen or promised. */
    Ballot nextBallot() {
        highestBallotNumber = Math.max(highestBallotNumber, promised().number()) + 1;
        return new Ballot(highestBallotNumber, address);
    }

    // ---- what it keeps

    DurableState disk() {
        return disk;
    }

    ClusterState state() {
        return disk.kept().state();
    }

    Ballot promised() {
        return disk.kept().promised();
    }

    Ballot accepted() {
        return disk.kept().accepted();
    }

    /** Whether this member accepted the state of a view and has promised no higher one. */
    boolean holds(Ballot ballot) {
        return ballot.equals(promised()) && ballot.equals(accepted());
    }

    /** Makes a promise durable, keeping what was accepted last, then goes on. */
    void persistPromise(Ballot ballot, Runnable then) {
        disk.store(new PersistentMemberState(ballot, accepted(), state()), nowUs, then);
    }

    /** Accepts a state in a view: makes it durable, then goes on. */
    void persistAccepted(Ballot ballot, ClusterState state, Runnable then) {
        disk.store(new PersistentMemberState(ballot, ballot, state), nowUs, then);
    }

    // ---- effects

    void send(String to, ChainMessage message) {
        effects.add(new ChainEffect.SendMessage(to, ChainMessageCodec.encode(message)));
    }

    /** Relays an acknowledgement towards the head. */
    void sendUpstream(ChainMessage message) {
        var position = view.chain().indexOf(address);
        if (position > 0) {
            send(view.chain().get(position - 1), message);
        }
    }

    void complete(long request, ResultCode code, String text) {
        effects.add(new ChainEffect.CompleteRequest(request, code, text));
    }

    List<ChainEffect> drainEffects() {
        var drained = new ArrayList<>(effects);
        effects.clear();
        return drained;
    }
}
