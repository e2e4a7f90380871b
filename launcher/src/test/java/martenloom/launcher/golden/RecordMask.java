package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Takes a record apart by a description of its fields and makes those equal that differ from run to
 * run. The description is written here apart from the code that encodes, as words between blanks:
 *
 * <ul>
 *   <li>1, 4 and 8: a field of so many bytes; with a question mark it differs and becomes zero
 *   <li>t: a length and a text; with a question mark it becomes an empty text
 *   <li>p: a text whose port after the last colon differs and becomes 0
 *   <li>( ... ): a count and so many elements of these fields
 *   <li>r: all remaining bytes, which become none
 * </ul>
 */
final class RecordMask {
    private final ByteBuffer in;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private RecordMask(byte[] record) {
        in = ByteBuffer.wrap(record);
    }

    /** The record with its changing fields made equal; fails when the description does not fit. */
    static byte[] masked(byte[] record, String description) {
        var mask = new RecordMask(record);
        var words = description.split(" +");
        mask.fields(words, 0, words.length);
        assertEquals(0, mask.in.remaining(), "bytes after the last field: " + description);
        return mask.out.toByteArray();
    }

    private void fields(String[] words, int from, int to) {
        for (var at = from; at < to; at++) {
            if (words[at].equals("(")) {
                var end = end(words, at);
                var count = in.getInt();
                number(count);
                for (var element = 0; element < count; element++) {
                    fields(words, at + 1, end);
                }
                at = end;
            } else {
                field(words[at]);
            }
        }
    }

    private static int end(String[] words, int begin) {
        var depth = 0;
        for (var at = begin; ; at++) {
            depth += words[at].equals("(") ? 1 : words[at].equals(")") ? -1 : 0;
            if (depth == 0) {
                return at;
            }
        }
    }

    private void field(String word) {
        switch (word) {
            case "1", "4", "8" -> out.writeBytes(next(Integer.parseInt(word)));
            case "1?", "4?", "8?" -> {
                var width = Integer.parseInt(word.substring(0, 1));
                next(width);
                out.writeBytes(new byte[width]);
            }
            case "t" -> text(nextText());
            case "t?" -> {
                nextText();
                text("");
            }
            case "p" -> text(nextText().replaceFirst(":[0-9]+$", ":0"));
            case "r" -> next(in.remaining());
            default -> throw new IllegalArgumentException(word);
        }
    }

    private byte[] next(int length) {
        var bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private String nextText() {
        return new String(next(in.getInt()), StandardCharsets.UTF_8);
    }

    private void text(String text) {
        var bytes = text.getBytes(StandardCharsets.UTF_8);
        number(bytes.length);
        out.writeBytes(bytes);
    }

    private void number(int number) {
        out.writeBytes(ByteBuffer.allocate(4).putInt(number).array());
    }
}
