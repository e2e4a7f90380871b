package martenloom.core.chain;

import martenloom.core.state.ClusterState;
import martenloom.core.state.ResultCode;

/**
 * What the owner of a {@link ChainMember} has to carry out, in the order given: the chain itself
 * does no input or output.
 */
public sealed interface ChainEffect
        permits ChainEffect.SendMessage,
                ChainEffect.PersistState,
                ChainEffect.CompleteRequest,
                ChainEffect.StateCommitted {

    /** Send a message to another member; it may be lost. */
    record SendMessage(String to, byte[] record) implements ChainEffect {}

    /**
     * Make the state durable, then call {@link ChainMember#onPersisted} with the token. There is
     * never more than one outstanding.
     */
    record PersistState(long token, PersistentMemberState memberState) implements ChainEffect {}

    /** Answer a request that was submitted; the code says what became of it. */
    record CompleteRequest(long request, ResultCode code, String text) implements ChainEffect {}

    /** A newer state is known to be committed. */
    record StateCommitted(ClusterState state) implements ChainEffect {}
}
