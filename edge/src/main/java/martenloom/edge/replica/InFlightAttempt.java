package martenloom.edge.replica;

/**
 * An attempt that is in flight at a replica, as far as the replica's load and responsiveness are
 * concerned. Used on the reactor thread.
 */
public interface InFlightAttempt {
    /** Whether it waits for its connection: nothing was sent yet. */
    boolean connecting();

    /** Whether the first event of its stream has come, so that its prompt was prefilled. */
    boolean prefilled();

    /** When its request was sent, in microseconds; 0 while it is connecting. */
    long sentUs();

    /** Whether its response is not read at present, since the client does not keep up. */
    boolean readingPaused();

    /** Since when the replica could have been heard, in microseconds; 0 while it is connecting. */
    long awaitedSinceUs();

    /** The replica has said nothing for longer than its load explains. */
    void onReplicaUnresponsive(long nowUs);
}
