package martenloom.core.api;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Reads parts of requests to the control API. */
final class ApiRequests {
    private static final int MAX_BODY_BYTES = 8 << 20;

    private ApiRequests() {}

    /** The body as text. */
    static Promise<String> body(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).map(body -> body.getString(StandardCharsets.UTF_8));
    }

    /** A segment of the path without its URL encoding. */
    static String decode(String segment) {
        return URLDecoder.decode(segment, StandardCharsets.UTF_8);
    }

    /** The reason of an invalid body, in one line. */
    static String reason(RuntimeException invalid) {
        return String.valueOf(invalid.getMessage()).replace('\n', ' ');
    }
}
