package martenloom.core.chain;

import java.util.List;
import java.util.Optional;
import martenloom.core.chain.ElectionMessage.BallotRejected;
import martenloom.core.chain.ReplicationMessage.AppendCommand;
import martenloom.core.chain.ReplicationMessage.ReplicateState;
import martenloom.core.chain.ReplicationMessage.ReplicationAck;
import martenloom.core.state.ClusterState;
import martenloom.core.state.EncodedState;
import martenloom.core.state.StampedCommand;

/**
 * The way of a state down the chain: each member makes it durable before it sends it on, the tail
 * acknowledges, and with the acknowledgement on its way back up each member knows it as committed.
 * In an active view a write goes down as its command alone; when a view is opened, and whenever an
 * acknowledgement takes long, the complete state goes down, by its name only to those that hold it.
 *
 * <p>Invariant: a member accepts nothing of a ballot below the one it has promised.
 */
final class Replication {
    private static final long RETRANSMIT_US = 400_000;

    private final MemberContext member;
    private final Runnable onViewAccepted;
    private final Runnable onWriteAccepted;

    /** The write that is to be sent as its command alone, at its first sending. */
    private Optional<StampedCommand> command = Optional.empty();

    /** The view in which the state that opens this one was accepted. */
    private Ballot basis = Ballot.ZERO;

    /** Who holds just the state that opens this view, at its first sending. */
    private List<String> holders = List.of();

    private long sentUs;

    /**
     * @param onViewAccepted called when the whole chain of a view formed here has its state
     * @param onWriteAccepted called when the whole chain has accepted what this head holds
     */
    Replication(MemberContext member, Runnable onViewAccepted, Runnable onWriteAccepted) {
        this.member = member;
        this.onViewAccepted = onViewAccepted;
        this.onWriteAccepted = onWriteAccepted;
    }

    // ---- at the head

    /** Makes the state that opens a view durable here, then sends it down the chain. */
    void openView(ClusterState state, Ballot acceptedIn, List<String> heldBy) {
        command = Optional.empty();
        basis = acceptedIn;
        holders = heldBy;
        var ballot = member.view().ballot();
        member.persistAccepted(
                ballot,
                state,
                () -> {
                    if (member.is(MemberRole.ACTIVATING_VIEW)
                            && member.view().ballot().equals(ballot)) {
                        send();
                    }
                });
    }

    /**
     * Makes the state that a command led to durable here, then sends the command down the chain.
     */
    void write(StampedCommand made, ClusterState next) {
        var ballot = member.view().ballot();
        member.persistAccepted(
                ballot,
                next,
                () -> {
                    if (member.isHead() && member.view().ballot().equals(ballot)) {
                        command = Optional.of(made);
                        send();
                    }
                });
    }

    /** Sends again when the acknowledgement takes long; the complete state, whatever was sent. */
    void retransmit() {
        if (member.nowUs() - sentUs > RETRANSMIT_US) {
            send();
        }
    }

    private void send() {
        sentUs = member.nowUs();
        var edition = member.state().edition();
        var chain = member.view().chain();
        if (chain.size() == 1) {
            onReplicationAck(new ReplicationAck(member.view().ballot(), edition));
            return;
        }
        var view = member.view().asChainView();
        if (command.isPresent()) {
            member.send(chain.get(1), new AppendCommand(view, edition, command.get()));
            command = Optional.empty();
            return;
        }
        sendState(view, basis, holders, 1);
        holders = List.of();
    }

    /** Sends this member's state to a position of the chain; without its bytes to a holder. */
    private void sendState(ChainView view, Ballot acceptedIn, List<String> heldBy, int position) {
        var to = view.chain().get(position);
        var state = heldBy.contains(to) ? EncodedState.NONE : EncodedState.of(member.state());
        member.send(
                to, new ReplicateState(view, acceptedIn, heldBy, member.state().edition(), state));
    }

    // ---- at a follower

    void onMessage(ReplicationMessage message) {
        if (message instanceof AppendCommand append) {
            member.disk().whenFree(() -> onAppendCommand(append));
        } else if (message instanceof ReplicateState replicate) {
            member.disk().whenFree(() -> onReplicateState(replicate));
        } else if (message instanceof ReplicationAck ack) {
            onReplicationAck(ack);
        }
    }

    private void onAppendCommand(AppendCommand append) {
        var view = append.view();
        var position = view.positionOf(member.address());
        if (position < 1
                || !member.is(MemberRole.FOLLOWER)
                || !member.holds(view.ballot())
                || member.state().edition() != append.edition() - 1) {
            return;
        }
        var next = member.state().decide(append.command()).next();
        if (next.isEmpty()) {
            return;
        }
        member.contact().onContact(member.nowUs());
        member.persistAccepted(
                view.ballot(),
                next.get(),
                () -> {
                    if (view.isTail(position)) {
                        commitAtTail(view, append.edition());
                    } else {
                        member.send(view.chain().get(position + 1), append);
                    }
                });
    }

    private void onReplicateState(ReplicateState replicate) {
        var view = replicate.view();
        var ballot = view.ballot();
        if (view.positionOf(member.address()) < 1 || !isForThisIncarnation(view)) {
            return;
        }
        if (!member.is(MemberRole.LEARNER) && ballot.compareTo(member.promised()) < 0) {
            member.send(view.head(), new BallotRejected(ballot, member.promised().number()));
            return;
        }
        stateOf(replicate).ifPresent(state -> accept(replicate, state));
    }

    private void accept(ReplicateState replicate, ClusterState state) {
        var view = replicate.view();
        var ballot = view.ballot();
        member.contact().onMajorityProof(member.nowUs(), 0);
        if (member.accepted().equals(ballot)) {
            if (member.is(MemberRole.FOLLOWER) && member.state().edition() >= state.edition()) {
                forward(replicate, state);
                return;
            }
            if (member.state().edition() > state.edition()) {
                return;
            }
        }
        member.become(MemberRole.FOLLOWER);
        member.departure().revokeRelease();
        member.view().follow(ballot, view.chain());
        member.persistAccepted(ballot, state, () -> forward(replicate, state));
    }

    /**
     * A learner takes only what names its incarnation: what was meant for a former one, with its
     * promises, is void.
     */
    private boolean isForThisIncarnation(ChainView view) {
        var taught = Optional.ofNullable(view.learners().get(member.address()));
        var isThis = taught.isPresent() && taught.get() == member.incarnation();
        if (member.is(MemberRole.LEARNER)) {
            return isThis;
        }
        return taught.isEmpty()
                || isThis
                || member.accepted().equals(view.ballot())
                || view.ballot().compareTo(member.promised()) < 0;
    }

    /** The state that is sent; empty when it is only named and this member has another. */
    private Optional<ClusterState> stateOf(ReplicateState replicate) {
        if (replicate.state().isPresent()) {
            return Optional.of(replicate.state().decode());
        }
        var acceptedIn = member.accepted();
        var isHeld =
                member.state().edition() == replicate.edition()
                        && (acceptedIn.equals(replicate.basis())
                                || acceptedIn.equals(replicate.view().ballot()));
        return isHeld && !member.is(MemberRole.LEARNER)
                ? Optional.of(member.state())
                : Optional.empty();
    }

    private void forward(ReplicateState replicate, ClusterState state) {
        var view = replicate.view();
        if (!member.accepted().equals(view.ballot())
                || member.state().edition() != state.edition()) {
            return;
        }
        var position = view.positionOf(member.address());
        if (view.isTail(position)) {
            commitAtTail(view, state.edition());
        } else {
            sendState(view, replicate.basis(), replicate.holders(), position + 1);
        }
    }

    private void commitAtTail(ChainView view, long edition) {
        member.commit(view.ballot(), edition);
        member.send(
                view.chain().get(view.chain().size() - 2),
                new ReplicationAck(view.ballot(), edition));
    }

    // ---- acknowledged

    private void onReplicationAck(ReplicationAck ack) {
        if (!ack.ballot().equals(member.accepted())
                || !ack.ballot().equals(member.view().ballot())) {
            return;
        }
        var isNewest = ack.edition() == member.state().edition();
        switch (member.role()) {
            case FOLLOWER -> {
                member.commit(ack.ballot(), ack.edition());
                member.sendUpstream(ack);
            }
            case ACTIVATING_VIEW -> {
                if (isNewest) {
                    member.commit(ack.ballot(), ack.edition());
                    onViewAccepted.run();
                }
            }
            case HEAD -> {
                member.commit(ack.ballot(), ack.edition());
                if (isNewest && member.disk().isFree()) {
                    onWriteAccepted.run();
                }
            }
            default -> {}
        }
    }
}
