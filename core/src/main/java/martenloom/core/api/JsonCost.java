package martenloom.core.api;

import java.util.Optional;

/**
 * What a text would cost to parse as JSON: its values become many times as large as the text, and
 * each level of nesting takes the stack of the reactor thread. Counts without parsing.
 */
final class JsonCost {
    /** Far deeper than any document of the API. */
    private static final int MAX_DEPTH = 64;

    /** The heap that a parsed value or name takes for a moment, with its tokens. */
    private static final int BYTES_PER_ITEM = 400;

    /** What one parsed document may take of the heap. */
    private static final long MAX_PARSED_BYTES = Runtime.getRuntime().maxMemory() / 3;

    /** No quote stands behind this position. */
    private static final int NO_STRING = -2;

    private static final long MAX_ITEMS = MAX_PARSED_BYTES / BYTES_PER_ITEM;

    /**
     * Whether a quote follows the end of a string. No JSON has that, but the parser takes three
     * quotes for another kind of string, in which others are hidden from this count.
     */
    private boolean adjacentStrings;

    private int depth;
    private int deepest;
    private long items;

    private JsonCost() {}

    /** Why a text is not to be parsed, if so. */
    static Optional<String> refusalOf(String text) {
        var cost = new JsonCost();
        cost.count(text);
        if (cost.adjacentStrings) {
            return Optional.of("the body is no JSON: a string stands right behind another");
        }
        if (cost.deepest > MAX_DEPTH) {
            return Optional.of("the body is nested deeper than " + MAX_DEPTH);
        }
        if (cost.items > MAX_ITEMS) {
            return Optional.of("the body has more than " + MAX_ITEMS + " values");
        }
        return Optional.empty();
    }

    private void count(String text) {
        var inString = false;
        var stringEnd = NO_STRING;
        for (var i = 0; i < text.length(); i++) {
            var character = text.charAt(i);
            if (character == '"') {
                adjacentStrings |= !inString && i == stringEnd + 1;
                stringEnd = inString ? i : stringEnd;
                inString = !inString;
            } else if (inString && character == '\\') {
                i++;
            } else if (!inString) {
                countOutsideStrings(character);
            }
        }
    }

    private void countOutsideStrings(char character) {
        switch (character) {
            case '[', '{' -> {
                depth++;
                deepest = Math.max(deepest, depth);
                items++;
            }
            case ']', '}' -> depth--;
            case ',', ':' -> items++;
            default -> {}
        }
    }
}
