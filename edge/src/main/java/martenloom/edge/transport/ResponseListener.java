package martenloom.edge.transport;

import martenloom.edge.http.MessageHead;

/**
 * Is notified of what comes of one request that was sent on a {@link ReplicaConnection}: {@link
 * #onHead} and any number of {@link #onBody}, then exactly one of {@link #onEnd}, {@link
 * #onConnectionEnd} and {@link #onBroken}; the last may also come at any time before. Nothing comes
 * after {@link ReplicaConnection#abandon}. Called on the reactor thread.
 */
public interface ResponseListener {
    void onHead(MessageHead head);

    /** A piece of the body, in bytes that are valid during the call only. */
    void onBody(byte[] buffer, int offset, int length);

    /** The response is complete. */
    void onEnd();

    /** The replica ended a response without a length by closing the connection in order. */
    void onConnectionEnd();

    /** The connection was lost before the response was complete. */
    void onBroken();
}
