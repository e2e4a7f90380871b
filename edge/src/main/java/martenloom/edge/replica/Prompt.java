package martenloom.edge.replica;

/**
 * The prompt of a request, as far as it decides which replica serves it best: the segments that a
 * prefix cache can hold, each with its name and its size, and the size of the whole.
 */
public interface Prompt {
    /** The size of the whole prompt, in tokens. */
    int tokens();

    /** How many segments the prompt has; 0 when nothing is known of them. */
    int segmentCount();

    /** The name of a segment. */
    String segment(int index);

    /** The size of a segment. */
    int segmentTokens(int index);
}
