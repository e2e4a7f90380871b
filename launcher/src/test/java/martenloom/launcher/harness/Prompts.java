package martenloom.launcher.harness;

/** Header fields by which a client describes its prompt. */
public final class Prompts {
    /** A prompt of 10 tokens for the model of the tests, with 40 tokens to be decoded. */
    public static final String SMALL = ofTokens(10);

    private static final int DECODE_TOKENS = 40;

    private Prompts() {}

    /** A prompt of so many tokens that shares no prefix with any other. */
    public static String ofTokens(int tokens) {
        return "X-Model: m\r\nX-Token-Usage: " + tokens + "," + DECODE_TOKENS + "\r\n";
    }

    /**
     * A prompt with a prefix.
     *
     * @param prefix blocks of the prefix as identity and tokens, from the first on
     */
    public static String ofTokens(int tokens, String prefix) {
        return ofTokens(tokens) + "X-Prompt-Prefix: " + prefix + "\r\n";
    }
}
