package martenloom.edge.replica;

/** A connection to a replica, as far as its pool is concerned. Used on the reactor thread. */
public interface PooledConnection {
    /** Whether another request may be sent on it. */
    boolean usable(long now);

    /**
     * Whether its last request had this id: a second answer to that one could not be told from one
     * to the next.
     */
    boolean lastCarried(String requestId);

    /** How long it has been idle, in microseconds; 0 for a new one. */
    long idleUs(long now);

    /** Sends the request of an attempt, which from now on is told of the answer. */
    void send(ResponseListener listener, byte[] head, byte[] body);

    /** Stops or resumes reading, while the client does not keep up. */
    void hold(boolean held);

    /** Drops the attempt and resets the connection, so that the replica stops running it. */
    void abandon();

    /** Closes the connection. */
    void close();
}
