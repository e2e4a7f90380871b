package martenloom.edge.replica;

import martenloom.edge.http.Head;

/**
 * An attempt of a request that a replica has in flight. The connection that carries it reports the
 * parts of the answer here, and the watch over unresponsive replicas reports that it should be
 * moved. All methods run on the reactor thread.
 */
public interface ReplicaAttempt {
    /** The id that the client gave the request, empty when it gave none. */
    String requestId();

    /** Whether the answer has no body because only its head was asked for. */
    boolean isHeadRequest();

    /** Whether the attempt still waits for its connection, so that nothing was sent. */
    boolean isOpening();

    /** Whether the first event of its answer has come. */
    boolean started();

    /** The moment at which the request was sent, in microseconds; 0 before. */
    long sentUs();

    /** The replica is suspected to be unresponsive: the attempt may be moved to another one. */
    void onReplicaUnresponsive(long now);

    /** The head of the answer has come. */
    void onHead(Head head);

    /** A part of the body of the answer has come. */
    void onBody(byte[] bytes, int from, int count);

    /** The answer is complete. */
    void onEnd();

    /** The answer, which has no length of its own, has ended with its connection. */
    void onConnectionEnd();

    /** The connection ended before the answer was complete. */
    void onBroken();
}
