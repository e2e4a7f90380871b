package martenloom.edge.replica;

import martenloom.edge.http.Head;

/** Is told of the answer to a request that was sent on a connection. Used on the reactor thread. */
public interface ResponseListener {
    /** The id that the client gave the request, empty when it gave none. */
    String requestId();

    /** Whether the answer has no body because only its head was asked for. */
    boolean isHeadRequest();

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
