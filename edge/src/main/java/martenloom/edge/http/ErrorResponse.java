package martenloom.edge.http;

import java.nio.charset.StandardCharsets;

/** The heads of responses without a body that this edge gives itself. */
public final class ErrorResponse {
    private static final byte[] NO_BODY = new byte[0];

    private ErrorResponse() {}

    /** The start line of a response, to which framing fields are to be added. */
    public static byte[] head(int status) {
        return head(status, "");
    }

    /** The same with a time in seconds after which the client may come again; empty for none. */
    public static byte[] head(int status, String retryAfterS) {
        return ("HTTP/1.1 "
                        + status
                        + " "
                        + HttpStatus.reason(status)
                        + "\r\n"
                        + (retryAfterS.isEmpty() ? "" : "Retry-After: " + retryAfterS + "\r\n"))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The empty body. */
    public static byte[] noBody() {
        return NO_BODY;
    }
}
