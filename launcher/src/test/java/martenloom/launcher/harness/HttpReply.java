package martenloom.launcher.harness;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A response as a client read it.
 *
 * @param status the status code; 0 where the server was not reached or did not answer
 * @param fields the header fields by name, in any case
 * @param content what came of the body
 * @param complete whether the body came to its framed end; false for a response that was cut
 */
public record HttpReply(int status, Map<String, String> fields, byte[] content, boolean complete) {
    /** The server was not reached, or closed the connection before a status line. */
    public static final HttpReply NONE = new HttpReply(0, new TreeMap<>(), new byte[0], false);

    /** The body as text. */
    public String body() {
        return new String(content, StandardCharsets.UTF_8);
    }

    /** The header field of this name; empty where the response has none. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The stand-in replica's seal, which says who answered; empty where nobody sealed it. */
    public String seal() {
        return field("X-Server-Seal");
    }
}
