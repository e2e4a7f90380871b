package martenloom.routing.language;

import java.util.ArrayList;
import java.util.List;
import martenloom.common.error.InvalidConfigurationException;

/**
 * The words of one line of the {@link RoutingLanguage}, which the parser takes from left to right.
 * Errors name the line and the column. Not thread-safe.
 */
final class RoutingLine {
    private final int number;
    private final List<String> words = new ArrayList<>();

    /** The column of each word, counted from 1. */
    private final List<Integer> columns = new ArrayList<>();

    /** The index of the next word. */
    private int next;

    /**
     * Splits a line into words.
     *
     * @param number the number of the line, counted from 1
     */
    RoutingLine(int number, String text) {
        this.number = number;
        split(text);
    }

    private void split(String text) {
        var at = 0;
        while (at < text.length()) {
            if (Character.isWhitespace(text.charAt(at))) {
                at++;
                continue;
            }
            if (text.charAt(at) == '#') {
                return;
            }
            columns.add(at + 1);
            var quoted = text.charAt(at) == '"';
            var end = quoted ? text.indexOf('"', at + 1) : wordEnd(text, at);
            if (end < 0) {
                throw error(words.size(), "a quote is not closed");
            }
            words.add(text.substring(quoted ? at + 1 : at, end));
            at = quoted ? end + 1 : end;
        }
    }

    private static int wordEnd(String text, int from) {
        var end = from;
        while (end < text.length() && !Character.isWhitespace(text.charAt(end))) {
            end++;
        }
        return end;
    }

    /** An error at the word that was taken last. */
    InvalidConfigurationException errorAtLast(String reason) {
        return error(next - 1, reason);
    }

    /** An error at the next word, or at the last if there is no more. */
    InvalidConfigurationException errorAtNext(String reason) {
        return error(next, reason);
    }

    private InvalidConfigurationException error(int word, String reason) {
        var column =
                word < columns.size()
                        ? columns.get(word)
                        : columns.isEmpty() ? 1 : columns.get(columns.size() - 1);
        return new InvalidConfigurationException(
                "compile routing text", "line " + number + " column " + column + ": " + reason);
    }

    boolean hasMore() {
        return next < words.size();
    }

    boolean nextIs(String word) {
        return hasMore() && words.get(next).equals(word);
    }

    /** Takes the next word if it is this one. */
    boolean takeIf(String word) {
        if (nextIs(word)) {
            next++;
            return true;
        }
        return false;
    }

    /**
     * Takes the next word.
     *
     * @param what says in the error what is missing
     */
    String take(String what) {
        if (!hasMore()) {
            throw errorAtNext(what + " is missing");
        }
        return words.get(next++);
    }

    /** Takes a keyword that has to stand here. */
    void takeKeyword(String keyword) {
        if (!takeIf(keyword)) {
            throw errorAtNext("'" + keyword + "' is expected");
        }
    }

    /** Takes a number that ends with this unit, or with none if the unit is empty. */
    double takeDecimal(String unit) {
        var word = take("a number");
        try {
            if (word.endsWith(unit)) {
                return Double.parseDouble(word.substring(0, word.length() - unit.length()));
            }
        } catch (NumberFormatException e) {
            throw errorAtLast(
                    "'" + word + "' is not a number" + (unit.isEmpty() ? "" : " of " + unit));
        }
        throw errorAtLast("'" + word + "' is not a number of " + unit);
    }

    /** Takes a number like {@link #takeDecimal} and drops its fraction. */
    long takeNumber(String unit) {
        return (long) takeDecimal(unit);
    }

    /** Takes a number without a unit and drops its fraction. */
    int takeInt() {
        return (int) takeNumber("");
    }

    /** Checks that all words were taken. */
    void requireEnd() {
        if (hasMore()) {
            throw errorAtNext("'" + words.get(next) + "' is not expected here");
        }
    }
}
