package martenloom.edge.http;

/** The status codes that this edge sends or tells apart. */
public final class HttpStatus {
    public static final int OK = 200;
    public static final int NO_CONTENT = 204;
    public static final int NOT_MODIFIED = 304;
    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;
    public static final int REQUEST_TIMEOUT = 408;
    public static final int CONTENT_TOO_LARGE = 413;
    public static final int MISDIRECTED_REQUEST = 421;
    public static final int TOO_MANY_REQUESTS = 429;
    public static final int HEADER_FIELDS_TOO_LARGE = 431;
    public static final int BAD_GATEWAY = 502;
    public static final int SERVICE_UNAVAILABLE = 503;
    public static final int GATEWAY_TIMEOUT = 504;

    private static final int FIRST_SERVER_ERROR = 500;

    private HttpStatus() {}

    /** Whether this is an interim response, which another one follows. */
    public static boolean isInformational(int status) {
        return status / 100 == 1;
    }

    public static boolean isSuccess(int status) {
        return status / 100 == 2;
    }

    /** Whether this says that the server failed; codes past the standard ones are included. */
    public static boolean isServerError(int status) {
        return status >= FIRST_SERVER_ERROR;
    }

    /** The reason phrase of a response of this edge's own. */
    public static String reason(int status) {
        return switch (status) {
            case BAD_REQUEST -> "Bad Request";
            case NOT_FOUND -> "Not Found";
            case REQUEST_TIMEOUT -> "Request Timeout";
            case CONTENT_TOO_LARGE -> "Content Too Large";
            case HEADER_FIELDS_TOO_LARGE -> "Request Header Fields Too Large";
            case BAD_GATEWAY -> "Bad Gateway";
            case SERVICE_UNAVAILABLE -> "Service Unavailable";
            case GATEWAY_TIMEOUT -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
