package martenloom.core.api;

/** The HTTP statuses that the control API gives by itself; see RFC 9110. */
final class HttpStatus {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONTENT_TOO_LARGE = 413;
    static final int UNPROCESSABLE_CONTENT = 422;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    private HttpStatus() {}
}
