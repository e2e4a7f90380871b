package martenloom.core.chain;

import martenloom.core.state.EncodedState;

/**
 * A message that carries a state, or none for a receiver that holds it already. The state may name
 * contents that are fetched one by one before the message is handled, see {@link ContentExchange}.
 */
sealed interface StateMessage extends ChainMessage
        permits ReplicationMessage.ReplicateState,
                ElectionMessage.Promise,
                AnnouncementMessage.SnapshotResponse {
    /** The state, or {@link EncodedState#NONE}. */
    EncodedState state();

    /** The same message with the contents of its state as far as they are at hand. */
    StateMessage withState(EncodedState resolved);
}
