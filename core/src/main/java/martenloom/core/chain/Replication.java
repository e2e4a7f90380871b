package martenloom.core.chain;

import java.util.List;
import java.util.Optional;
import martenloom.core.chain.ChainMember.Ballot;
import martenloom.core.chain.ChainMember.Committed;
import martenloom.core.chain.ChainMember.MemberState;
import martenloom.core.chain.ChainMember.Mode;
import martenloom.core.state.ClusterState;
import martenloom.core.state.StampedCommand;

/**
 * The way of a state down the chain: each member makes it durable before it passes it on, the tail
 * acknowledges, and with the acknowledgement on its way back each member knows it as committed.
 */
final class Replication {
    private static final long RESEND_US = 400_000;

    private final MemberContext member;
    private final ChainMember owner;

    /** The write that is to be passed on as the change alone, at its first sending. */
    private Optional<StampedCommand> change = Optional.empty();

    /**
     * The view in which the state that opens this one was accepted, and who holds just that state.
     */
    private Ballot basis = Ballot.ZERO;

    private List<String> holders = List.of();
    private long sentUs;

    Replication(MemberContext member, ChainMember owner) {
        this.member = member;
        this.owner = owner;
    }

    // ---- at the head

    /** Makes the state that opens a view durable here, then passes it on. */
    void open(ClusterState state, Ballot acceptedIn, List<String> heldBy) {
        change = Optional.empty();
        basis = acceptedIn;
        holders = heldBy;
        var ballot = member.view;
        member.store(
                new MemberState(ballot, ballot, state),
                () -> {
                    if (member.mode == Mode.STARTING && member.view.equals(ballot)) {
                        passOn();
                    }
                });
    }

    /** Makes the state that a change led to durable here, then passes the change on. */
    void write(StampedCommand made, ClusterState next) {
        var ballot = member.view;
        member.store(
                new MemberState(ballot, ballot, next),
                () -> {
                    if (member.heading() && member.view.equals(ballot)) {
                        change = Optional.of(made);
                        passOn();
                    }
                });
    }

    /**
     * Passes the state on again when its acknowledgement takes long; whole, whatever was sent
     * before.
     */
    void resend() {
        if (member.nowUs - sentUs > RESEND_US) {
            passOn();
        }
    }

    private void passOn() {
        sentUs = member.nowUs;
        var edition = member.state().edition();
        if (member.chain.size() == 1) {
            onPassAck(new ChainMessage.PassAck(member.view, edition));
            return;
        }
        var view = new ChainMessage.View(member.view, member.chain, member.learners);
        if (change.isPresent()) {
            member.send(member.chain.get(1), new ChainMessage.Step(view, edition, change.get()));
            change = Optional.empty();
            return;
        }
        passState(view, basis, holders, 1);
        holders = List.of();
    }

    /**
     * Passes this member's state to a place of the chain: by its name to a holder, and else whole.
     */
    private void passState(
            ChainMessage.View view, Ballot acceptedIn, List<String> heldBy, int place) {
        var to = view.chain().get(place);
        var whole = heldBy.contains(to) ? new byte[0] : member.state().bytes();
        member.send(
                to,
                new ChainMessage.Pass(view, acceptedIn, heldBy, member.state().edition(), whole));
    }

    // ---- at a follower

    void onStep(ChainMessage.Step step) {
        var view = step.view();
        var place = view.chain().indexOf(member.me);
        if (place < 1
                || member.mode != Mode.FOLLOWING
                || !member.holds(view.ballot())
                || member.state().edition() != step.edition() - 1) {
            return;
        }
        var next = member.state().decide(step.change()).next();
        if (next.isEmpty()) {
            return;
        }
        member.heardUs = member.nowUs;
        member.store(
                new MemberState(view.ballot(), view.ballot(), next.get()),
                () -> {
                    if (view.isLast(place)) {
                        commitAtTail(view, step.edition());
                    } else {
                        member.send(view.chain().get(place + 1), step);
                    }
                });
    }

    void onPass(ChainMessage.Pass pass) {
        var view = pass.view();
        var ballot = view.ballot();
        if (view.chain().indexOf(member.me) < 1 || !isForThisLife(view)) {
            return;
        }
        if (member.mode != Mode.LEARNING && ballot.compareTo(member.promised()) < 0) {
            member.send(view.chain().get(0), new ChainMessage.Nack(ballot, member.promised().n()));
            return;
        }
        var passed = passed(pass);
        if (passed.isEmpty()) {
            return;
        }
        var state = passed.get();
        member.told(0);
        if (member.accepted().equals(ballot)
                && member.state().edition() >= state.edition()
                && member.mode == Mode.FOLLOWING) {
            passFurther(pass, state);
            return;
        }
        if (member.accepted().equals(ballot) && member.state().edition() > state.edition()) {
            return;
        }
        owner.become(Mode.FOLLOWING);
        member.released = false;
        member.follow(ballot, view.chain());
        member.store(new MemberState(ballot, ballot, state), () -> passFurther(pass, state));
    }

    /**
     * A learner takes only what names its nonce: what was meant for its former life, with its
     * promises, is void.
     */
    private boolean isForThisLife(ChainMessage.View view) {
        var nonce = Optional.ofNullable(view.learners().get(member.me));
        var mine = nonce.isPresent() && nonce.get() == member.nonce;
        if (member.mode == Mode.LEARNING) {
            return mine;
        }
        return nonce.isEmpty()
                || mine
                || member.accepted().equals(view.ballot())
                || view.ballot().compareTo(member.promised()) < 0;
    }

    /** The state that a pass brings; nothing when it is only named and this member has another. */
    private Optional<ClusterState> passed(ChainMessage.Pass pass) {
        if (pass.state().length > 0) {
            return Optional.of(ClusterState.of(pass.state()));
        }
        var acceptedIn = member.accepted();
        var held =
                member.state().edition() == pass.edition()
                        && (acceptedIn.equals(pass.basis())
                                || acceptedIn.equals(pass.view().ballot()));
        return held && member.mode != Mode.LEARNING
                ? Optional.of(member.state())
                : Optional.empty();
    }

    private void passFurther(ChainMessage.Pass pass, ClusterState state) {
        var view = pass.view();
        if (!member.accepted().equals(view.ballot())
                || member.state().edition() != state.edition()) {
            return;
        }
        var place = view.chain().indexOf(member.me);
        if (view.isLast(place)) {
            commitAtTail(view, state.edition());
        } else {
            passState(view, pass.basis(), pass.holders(), place + 1);
        }
    }

    private void commitAtTail(ChainMessage.View view, long edition) {
        commit(view.ballot(), edition);
        member.send(
                view.chain().get(view.chain().size() - 2),
                new ChainMessage.PassAck(view.ballot(), edition));
    }

    // ---- acknowledged

    void onPassAck(ChainMessage.PassAck ack) {
        if (!ack.ballot().equals(member.accepted()) || !ack.ballot().equals(member.view)) {
            return;
        }
        switch (member.mode) {
            case FOLLOWING -> {
                commit(ack.ballot(), ack.edition());
                var place = member.chainSeen.indexOf(member.me);
                if (place > 0) {
                    member.send(member.chainSeen.get(place - 1), ack);
                }
            }
            case STARTING -> {
                if (ack.edition() == member.state().edition()) {
                    commit(ack.ballot(), ack.edition());
                    owner.onViewActive();
                }
            }
            case HEADING -> {
                commit(ack.ballot(), ack.edition());
                if (ack.edition() == member.state().edition() && member.disk.isFree()) {
                    owner.onWriteAcknowledged();
                }
            }
            default -> {}
        }
    }

    /**
     * The state that this member accepted in a view is committed, if it is the one of that edition.
     */
    void commit(Ballot ballot, long edition) {
        var known = member.committed;
        var isIt = member.accepted().equals(ballot) && member.state().edition() == edition;
        if (isIt && (edition > known.edition() || known.edition() == 0)) {
            member.committed = member.state();
            if (known.edition() != edition
                    || !known.roster().members().equals(member.committed.roster().members())) {
                member.output.add(new Committed(member.committed));
            }
        }
    }
}
