package martenloom.edge.dispatch;

/**
 * Where the response to a request goes: either one {@link #respond}, or {@link #beginStream}, any
 * number of {@link #sendEvents} and one of {@link #endStream} and {@link #abortStream}. Heads are a
 * start line and fields without the blank line; the sink adds the framing. Called on the reactor
 * thread.
 */
public interface ResponseSink {
    /** A complete response. */
    void respond(byte[] head, byte[] body);

    /** The head of a stream. */
    void beginStream(byte[] head);

    /** Complete events of a stream. */
    void sendEvents(byte[] events);

    /** The stream is complete. */
    void endStream();

    /** The stream ends in its middle, and must be seen to be truncated. */
    void abortStream();

    /** Bytes that were taken and have not gone out. */
    int unsentBytes();
}
