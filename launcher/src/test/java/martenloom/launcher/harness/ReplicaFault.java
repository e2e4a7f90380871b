package martenloom.launcher.harness;

/** How a stand-in replica misbehaves. */
public enum ReplicaFault {
    /** It serves every request well. */
    NONE,
    /** Cuts the connection in the middle of the fourth event of a stream. */
    CUT_STREAM,
    /** Executes a request and resets the connection without a response. */
    RESET,
    /** Sends each response twice. */
    DUPLICATE_RESPONSE,
    /** Executes a request and sends what is no HTTP response. */
    GARBLED_RESPONSE,
    /** Refuses every request and says that it was not executed. */
    NOT_EXECUTED,
    /** Executes a request and never responds; the connection stays open. */
    SILENT,
    /** Sends a response to another request before the right one. */
    RESPONSE_TO_ANOTHER,
    /** Executes those requests that {@link StandInReplica#failOnly} names and responds 500. */
    SERVER_ERROR,
    /** Resets a connection that has served before when the next request comes on it. */
    DROPS_USED_CONNECTIONS,
    /** Comes to a halt for good, in the middle of a stream or before any other response. */
    STALL,
    /** Halts in the middle of a stream until it is resumed. */
    PAUSE,
    /** Writes events for as long as the connection bears it. */
    FLOOD,
    /** Responds before it has read the body, and reads on once it is resumed. */
    EARLY_RESPONSE,
    /** Responds without a length and closes the connection in order. */
    UNFRAMED,
    /** Responds without a length and resets the connection on the way. */
    UNFRAMED_RESET,
    /**
     * On a connection that has served before: one more response, without an attempt id, before the
     * right one.
     */
    STRAY_RESPONSE,
    /**
     * Refuses each request at first; when it comes again on that connection, it sends the refusal
     * once more and then executes it.
     */
    DUPLICATE_REFUSAL,
    /** Executes a request and responds 503 without saying that it was not executed. */
    BUSY_AFTER_EXECUTION
}
