package martenloom.core.chain;

import martenloom.core.state.EncodedState;

/** The messages by which a view is agreed: a candidate prepares, the others promise or reject. */
sealed interface ElectionMessage extends ChainMessage {
    /**
     * Asks for a promise to a ballot. The candidate names the state it holds, so that only a newer
     * one is sent to it.
     *
     * @param accepted the view in which the candidate accepted its state
     * @param edition the edition of that state
     * @param handedOver the view whose head handed over to the candidate; zero if none did
     */
    record Prepare(Ballot ballot, Ballot accepted, long edition, Ballot handedOver)
            implements ElectionMessage {}

    /**
     * A promise to accept nothing of a lower ballot any more, with what was accepted last.
     *
     * @param leaving whether the member is about to terminate
     * @param accepted the view in which it accepted its state
     * @param edition the edition of that state
     * @param state the state itself, only where it is newer than the candidate's
     */
    record Promise(
            Ballot ballot, boolean leaving, Ballot accepted, long edition, EncodedState state)
            implements ElectionMessage, StateMessage {
        @Override
        public Promise withState(EncodedState resolved) {
            return new Promise(ballot, leaving, accepted, edition, resolved);
        }
    }

    /**
     * No promise: a higher ballot was promised, or the member is in good contact with its head.
     *
     * @param promisedNumber the number of the ballot that was promised
     */
    record PromiseRejected(Ballot ballot, long promisedNumber) implements ElectionMessage {}

    /**
     * No promise, for the disk is empty; but this member can learn the state.
     *
     * @param incarnation names this start of the member: only a state meant for it is taken
     */
    record LearnerOffer(Ballot ballot, long incarnation) implements ElectionMessage {}

    /**
     * A state was sent under a ballot below the one promised; tells its head to give up the view.
     *
     * @param promisedNumber the number of the ballot that was promised
     */
    record BallotRejected(Ballot ballot, long promisedNumber) implements ElectionMessage {}

    /** The head of this view leaves and asks the receiver to form the next one. */
    record HeadHandover(Ballot ballot) implements ElectionMessage {}
}
