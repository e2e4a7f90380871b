package martenloom.edge.http;

import martenloom.common.error.ErrorCode;
import martenloom.common.error.MartenloomException;

/**
 * The bytes of a connection are no HTTP/1.1 message that this edge accepts. A client is answered
 * with the status that the exception carries and its connection is closed; a connection to a
 * replica is closed without an answer.
 */
public final class MalformedMessageException extends MartenloomException {
    private final int status;

    /**
     * @param status the status to answer a client with
     * @param reason the part of the message that is malformed
     */
    public MalformedMessageException(int status, String reason) {
        super(ErrorCode.LINK, "read HTTP message", NO_PEER, reason);
        this.status = status;
    }

    /** The status to answer a client with. */
    public int status() {
        return status;
    }
}
