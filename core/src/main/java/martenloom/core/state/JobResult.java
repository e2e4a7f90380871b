package martenloom.core.state;

import java.util.Base64;

/**
 * The result of a job as its replica sent it. It travels between core daemons as text: the media
 * type, a line end, and the bytes in base 64.
 *
 * @param mediaType the media type of the response; empty when it is not known
 */
public record JobResult(String mediaType, byte[] content) {
    /** Stands for a media type that nobody told. */
    static final String UNKNOWN_TYPE = "";

    private static final char SEPARATOR = '\n';

    /** The result as it travels. */
    String encode() {
        return mediaType + SEPARATOR + Base64.getEncoder().encodeToString(content);
    }

    /** Reads what {@link #encode} wrote. */
    public static JobResult decode(String text) {
        var end = text.indexOf(SEPARATOR);
        return new JobResult(
                text.substring(0, end), Base64.getDecoder().decode(text.substring(end + 1)));
    }
}
