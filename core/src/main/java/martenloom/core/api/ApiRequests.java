package martenloom.core.api;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Reads parts of requests to the control API. */
final class ApiRequests {
    private ApiRequests() {}

    /** A segment of the path without its URL encoding. */
    static String decode(String segment) {
        return URLDecoder.decode(segment, StandardCharsets.UTF_8);
    }

    /** The reason of an invalid body, in one line. */
    static String reason(RuntimeException invalid) {
        return String.valueOf(invalid.getMessage()).replace('\n', ' ');
    }
}
