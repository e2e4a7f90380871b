package martenloom.core.chain;

import java.util.List;
import martenloom.core.state.EncodedState;

/** The messages between the head of an active view and the members outside its chain. */
sealed interface AnnouncementMessage extends ChainMessage {
    /**
     * The head announces its view.
     *
     * @param edition the newest committed edition the head knows
     * @param contactAgeUs how long ago a majority was last proven to hold together
     */
    record ViewAnnouncement(Ballot ballot, List<String> chain, long edition, long contactAgeUs)
            implements AnnouncementMessage {}

    /**
     * The answer to an announcement: the sender wants to join the chain.
     *
     * @param promisedNumber the number of the ballot it has promised, if the announced view is
     *     below that; else 0
     */
    record JoinRequest(long promisedNumber) implements AnnouncementMessage {}

    /** Asks for the committed state if it is newer than an edition. */
    record SnapshotRequest(long edition) implements AnnouncementMessage {}

    /** The committed state, to be known but not accepted. */
    record SnapshotResponse(EncodedState state) implements AnnouncementMessage, StateMessage {
        @Override
        public SnapshotResponse withState(EncodedState resolved) {
            return new SnapshotResponse(resolved);
        }
    }
}
