package martenloom.core.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.core.chain.ChainMember.Ballot;
import martenloom.core.chain.ChainMember.Command;
import martenloom.core.chain.ChainMember.MemberState;
import martenloom.core.chain.ChainMember.Mode;
import martenloom.core.chain.ChainMember.Send;
import martenloom.core.state.ClusterState;

/**
 * What the parts of one chain member share: who it is, what it does, what it holds, and its output.
 */
final class MemberContext {
    /** A member of the view that hears nothing for so long bids for the next. */
    static final long SILENT_US = 900_000;

    /** So long a view stands before its head begins another to take in those outside. */
    static final long SETTLE_US = 1_000_000;

    final String me;

    /**
     * Drawn at the start of this life, so that nothing meant for a former one can teach this
     * member.
     */
    final long nonce;

    /** The order of the chain: near members first. */
    final Comparator<String> near;

    final List<Command> output = new ArrayList<>();
    final DurableState disk;
    long nowUs;
    Mode mode;

    /** The view that this member takes part in, or took part in last. */
    Ballot view = Ballot.ZERO;

    /**
     * The chain of a view that this member heads, and the nonces of those that learn the state in
     * it.
     */
    List<String> chain = List.of();

    Map<String, Long> learners = Map.of();

    /** The head and the chain that this member heard of last. */
    String headSeen = "";

    List<String> chainSeen = List.of();
    ClusterState committed;

    /** The highest number of a ballot that was heard of. */
    long topNumber;

    /** No bid before this time. */
    long quietUntilUs;

    long heardUs;

    /**
     * The newest moment at which a majority is known to have held together, as a follower was told.
     */
    long toldUs;

    long viewSinceUs;
    long formedUs;
    boolean leaving;

    /** A chain without this member, which leaves, is known to be active. */
    boolean released;

    MemberContext(
            String me,
            long nonce,
            Optional<MemberState> kept,
            Comparator<String> near,
            long nowUs) {
        this.me = me;
        this.nonce = nonce;
        this.near = near;
        this.nowUs = nowUs;
        mode = kept.isPresent() ? Mode.IDLE : Mode.LEARNING;
        disk =
                new DurableState(
                        kept.orElse(
                                new MemberState(
                                        Ballot.ZERO, Ballot.ZERO, ClusterState.founded(List.of()))),
                        output::add);
        committed = ClusterState.founded(state().roster().members());
        topNumber = promised().n();
        heardUs = nowUs - SILENT_US;
    }

    void advance(long t) {
        nowUs = Math.max(nowUs, t);
    }

    ClusterState state() {
        return disk.kept().state;
    }

    Ballot promised() {
        return disk.kept().promised;
    }

    Ballot accepted() {
        return disk.kept().accepted;
    }

    boolean heading() {
        return mode == Mode.HEADING;
    }

    /** Whether this member accepted the state of a view and has promised no higher one. */
    boolean holds(Ballot ballot) {
        return ballot.equals(promised()) && ballot.equals(accepted());
    }

    void heardOf(long ballotNumber) {
        topNumber = Math.max(topNumber, ballotNumber);
    }

    /**
     * Word from the head of a view, with the age of its proof: the only thing that makes this
     * member's knowledge fresh.
     */
    void told(long ageUs) {
        heardUs = nowUs;
        toldUs = Math.max(toldUs, nowUs - Math.max(0, ageUs));
    }

    void follow(Ballot ballot, List<String> members) {
        view = ballot;
        chainSeen = members;
        headSeen = members.get(0);
    }

    void send(String to, ChainMessage message) {
        output.add(new Send(to, message.encode().bytes()));
    }

    void store(MemberState next, Runnable then) {
        disk.store(next, nowUs, then);
    }
}
