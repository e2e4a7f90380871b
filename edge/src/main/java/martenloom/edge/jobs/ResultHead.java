package martenloom.edge.jobs;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import martenloom.edge.http.HeaderField;

/**
 * What the head of a response says about the result of a job.
 *
 * @param status the status of the response
 * @param mediaType its media type; empty when it names none
 */
record ResultHead(int status, String mediaType) {
    private static final int STATUS_FROM = 9;
    private static final int STATUS_TO = 12;

    /** Reads a start line and fields without the blank line, as a sink is given them. */
    static ResultHead read(byte[] encoded) {
        var head = new String(encoded, StandardCharsets.ISO_8859_1);
        var name = "\r\n" + HeaderField.CONTENT_TYPE.toLowerCase(Locale.ROOT) + ":";
        var from = head.toLowerCase(Locale.ROOT).indexOf(name);
        var mediaType =
                from < 0
                        ? ""
                        : head.substring(from + name.length(), head.indexOf("\r\n", from + 2));
        return new ResultHead(
                Integer.parseInt(head.substring(STATUS_FROM, STATUS_TO)), mediaType.strip());
    }
}
