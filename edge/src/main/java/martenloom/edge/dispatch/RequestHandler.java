package martenloom.edge.dispatch;

import martenloom.common.callers.Callers;
import martenloom.edge.http.MessageHead;
import martenloom.edge.memory.MessageMemory;
import martenloom.routing.route.ClientLimits;

/** Takes the requests of client connections. */
public interface RequestHandler {
    /** The limits on requests that are in force. */
    ClientLimits clientLimits();

    /** The bounds on the connections of clients. */
    Callers callers();

    /** The account of the bytes of requests. */
    MessageMemory requestMemory();

    /** The account of the bytes of responses. */
    MessageMemory responseMemory();

    /** Whether this edge shuts down, so that each connection is closed behind its response. */
    boolean closesConnections();

    void onOpened(ClientConnection client);

    void onRequest(ClientConnection client, MessageHead head, byte[] body);

    /**
     * A further request has come before the response to the last one was written.
     *
     * @param goOn reads it
     */
    void onSentAhead(Runnable goOn);

    /** The connection is closed; called once. */
    void onClosed(ClientConnection client);
}
