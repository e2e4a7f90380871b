package martenloom.core.chain;

import java.util.List;

/** The messages by which a head proves that its view still holds. */
sealed interface HeartbeatMessage extends ChainMessage {
    /**
     * Runs down the chain of a view.
     *
     * @param number raised with each heartbeat of one head
     * @param edition the newest committed edition the head knows
     * @param contactAgeUs how long ago, at the head, a majority was last proven to hold together
     */
    record Heartbeat(
            Ballot ballot, long number, List<String> chain, long edition, long contactAgeUs)
            implements HeartbeatMessage {}

    /** A heartbeat has reached the tail; runs back up the chain. */
    record HeartbeatAck(Ballot ballot, long number) implements HeartbeatMessage {}
}
