package martenloom.core.chain;

import java.util.List;
import martenloom.core.state.EncodedState;
import martenloom.core.state.StampedCommand;

/** The messages that take a state down the chain, and their acknowledgement back up. */
sealed interface ReplicationMessage extends ChainMessage {
    /**
     * Opens a view, or repeats a write: the complete state goes down the chain. It is left out for
     * a holder, which has the state of that edition already.
     *
     * @param basis the view in which the holders accepted that state
     * @param holders the members that promised with just that state
     * @param edition the edition of the state
     */
    record ReplicateState(
            ChainView view, Ballot basis, List<String> holders, long edition, EncodedState state)
            implements ReplicationMessage, StateMessage {
        @Override
        public ReplicateState withState(EncodedState resolved) {
            return new ReplicateState(view, basis, holders, edition, resolved);
        }
    }

    /**
     * One write as its command alone. A member that cannot apply it ignores it, and is given the
     * complete state when the write is sent again.
     *
     * @param edition the edition that the command leads to
     */
    record AppendCommand(ChainView view, long edition, StampedCommand command)
            implements ReplicationMessage {}

    /** The sender and all behind it in the chain have accepted an edition. */
    record ReplicationAck(Ballot ballot, long edition) implements ReplicationMessage {}
}
