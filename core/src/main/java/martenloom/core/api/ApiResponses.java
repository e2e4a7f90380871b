package martenloom.core.api;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import martenloom.core.state.JobResult;

/** The responses of the control API: JSON when a call succeeds, else a reason in plain text. */
final class ApiResponses {
    private static final String EMPTY_OBJECT = "{}";
    private static final String UNKNOWN_CONTENT = "application/octet-stream";
    private static final String RETRY_AFTER_S = "0.2";
    private static final String SHUTDOWN_RETRY_AFTER_S = "1";

    private ApiResponses() {}

    /** A call has succeeded and has no result. */
    static HttpResponse ok() {
        return ok(EMPTY_OBJECT);
    }

    static HttpResponse ok(String json) {
        return response(HttpStatus.OK, json);
    }

    /** The response of this status; the text is JSON for {@link HttpStatus#OK}. */
    static HttpResponse response(int status, String text) {
        var builder =
                HttpResponse.ofCode(status)
                        .withHeader(
                                HttpHeaders.CONTENT_TYPE,
                                status == HttpStatus.OK ? "application/json" : "text/plain")
                        .withBody(text, StandardCharsets.UTF_8);
        if (status == HttpStatus.SERVICE_UNAVAILABLE) {
            builder.withHeader(HttpHeaders.RETRY_AFTER, RETRY_AFTER_S);
        }
        return builder.build();
    }

    /** The result of a job, just as its replica sent it. */
    static HttpResponse content(JobResult result) {
        var mediaType = result.mediaType().isEmpty() ? UNKNOWN_CONTENT : result.mediaType();
        return HttpResponse.ofCode(HttpStatus.OK)
                .withHeader(HttpHeaders.CONTENT_TYPE, mediaType)
                .withBody(result.content())
                .build();
    }

    static Promise<HttpResponse> badRequest(String reason) {
        return refused(HttpStatus.BAD_REQUEST, reason);
    }

    static Promise<HttpResponse> notFound(String reason) {
        return refused(HttpStatus.NOT_FOUND, reason);
    }

    static Promise<HttpResponse> refused(int status, String reason) {
        return Promise.of(response(status, reason));
    }

    /** The response to every call during the shutdown: the caller is to turn to another daemon. */
    static HttpResponse shuttingDown() {
        return HttpResponse.ofCode(HttpStatus.SERVICE_UNAVAILABLE)
                .withHeader(HttpHeaders.CONNECTION, "close")
                .withHeader(HttpHeaders.RETRY_AFTER, SHUTDOWN_RETRY_AFTER_S)
                .withPlainText("this daemon is leaving")
                .build();
    }
}
