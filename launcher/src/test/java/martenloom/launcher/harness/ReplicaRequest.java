package martenloom.launcher.harness;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;

/**
 * The head of a request as a replica received it.
 *
 * @param fields the header fields; names compare in any case
 * @param arrivedNs when its head had been read, by nanoTime
 */
public record ReplicaRequest(String startLine, Map<String, String> fields, long arrivedNs) {
    /** Reads the fields of a request whose start line has been read. */
    static ReplicaRequest read(String startLine, InputStream in) throws IOException {
        return new ReplicaRequest(startLine, TestHttpClient.fields(in), System.nanoTime());
    }

    /** The header field of this name; empty where the request has none. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The attempt id, which stays the same when the request is sent again. */
    public String attempt() {
        return field("X-Attempt-Id");
    }

    int contentLength() {
        return Integer.parseInt(fields.getOrDefault("Content-Length", "0"));
    }

    boolean isStream() {
        return startLine.contains("/stream");
    }

    boolean isMeantFor(String replicaId) {
        return fields.getOrDefault("X-Target-Instance", replicaId).equals(replicaId);
    }

    /** The last event that the client of a resumed stream has; 0 for a stream from its start. */
    int lastEvent() {
        var last = field("Last-Event-Id");
        return last.isEmpty() ? 0 : Integer.parseInt(last);
    }
}
