package martenloom.edge.replica;

import martenloom.edge.http.HeaderField;

/**
 * The prompt of a request to an engine, as its header fields describe it: the segments that a
 * prefix cache can hold, each with its name and its size, and the size of the whole. All segments
 * but the last are shared with other requests. Immutable.
 */
public final class Prompt {
    /** From this size on, shared segments belong to one replica, so that each is read once. */
    public static final int LARGE_SHARED_TOKENS = 1000;

    /** A longer name is left out; the names of segments are remembered beyond the request. */
    private static final int MAX_NAME_LETTERS = 128;

    private final String[] segments;
    private final int[] segmentTokens;
    private final int count;
    private final int tokens;
    private final int sharedTokens;

    /**
     * @param prefixField the segments in the form {@code name:tokens, name:tokens}; what is
     *     malformed is left out
     * @param usageField the size of the whole prompt, and behind a comma what else was used
     */
    public Prompt(String prefixField, String usageField) {
        var parts = prefixField.split(",");
        segments = new String[parts.length];
        segmentTokens = new int[parts.length];
        var found = 0;
        var sum = 0;
        for (var part : parts) {
            var colon = part.lastIndexOf(':');
            var size =
                    colon < 1 || colon > MAX_NAME_LETTERS
                            ? HeaderField.NOT_A_NUMBER
                            : HeaderField.parseNumber(part.substring(colon + 1));
            if (size >= 0) {
                segments[found] = part.substring(0, colon).strip();
                segmentTokens[found] = (int) size;
                sum += (int) size;
                found++;
            }
        }
        count = found;
        sharedTokens = found == 0 ? 0 : sum - segmentTokens[found - 1];
        var usage = usageField.split(",");
        tokens = (int) Math.max(0, HeaderField.parseNumber(usage[0].strip()));
    }

    /** The size of the whole prompt. */
    public int tokens() {
        return tokens;
    }

    /** How many segments the prompt has; 0 when nothing is known of them. */
    public int segmentCount() {
        return count;
    }

    public String segment(int index) {
        return segments[index];
    }

    public int segmentTokens(int index) {
        return segmentTokens[index];
    }

    /** The size of the segments that other requests share. */
    public int sharedTokens() {
        return sharedTokens;
    }

    /** Whether there are shared segments at all. */
    public boolean hasShared() {
        return count > 1;
    }

    /** Whether the shared segments are large enough to belong to one replica. */
    public boolean hasLargeShared() {
        return sharedTokens >= LARGE_SHARED_TOKENS;
    }

    /** The last shared segment, which stands for all before it. */
    public String lastShared() {
        return segments[count - 2];
    }

    /** The last segment, which belongs to this request alone. */
    public String own() {
        return segments[count - 1];
    }

    /** The size of the last segment. */
    public int ownTokens() {
        return segmentTokens[count - 1];
    }
}
