package martenloom.edge.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The start line and the header fields of a request or a response, in their order. A head is edited
 * in place on its way through the edge. The reading is strict: whatever two readers could
 * understand differently is rejected, so that no request can be smuggled inside another. Not
 * thread-safe.
 */
public final class MessageHead {
    public static final String HTTP_1_1 = "HTTP/1.1";

    /** What {@link #bodyLength} gives for a body in the chunked transfer coding. */
    public static final int CHUNKED = -1;

    private static final String HTTP_1_0 = "HTTP/1.0";
    private static final String ANY_HTTP_1 = "HTTP/1.";
    private static final String CRLF = "\r\n";

    /** Length of the blank line with the end of the line before it: CR LF CR LF. */
    private static final int END_BYTES = 4;

    /** How many bytes of {@link #END_BYTES} stand before the last one. */
    private static final int END_LOOK_BACK = END_BYTES - 1;

    private static final int START_LINE_WORDS = 3;
    private static final int STATUS_DIGITS = 3;
    private static final int MAX_LENGTH_DIGITS = 10;
    private static final int MAX_BODY_BYTES = Integer.MAX_VALUE / 2;
    private static final char DELETE = 127;
    private static final int USUAL_FIELDS = 16;
    private static final int USUAL_BYTES = 256;

    /** The objects of one field, or of one item of a list, in a head and in a copy of it. */
    private static final int ITEM_BYTES = 128;

    /** A head that was read is held, and so is a copy of it that is sent. */
    private static final int COPIES = 2;

    /** Fields that concern one connection and the framing, and are never forwarded. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "transfer-encoding",
                    "te",
                    "trailer",
                    "upgrade",
                    "content-length",
                    "proxy-authenticate",
                    "proxy-authorization");

    /** The method of a request, or the version of a response. */
    private final String firstWord;

    /** The target of a request, or the status of a response. */
    private final String secondWord;

    /** The version of a request, or the reason phrase of a response. */
    private final String thirdWord;

    /** See {@link #retainedBytes()}. */
    private int retainedBytes;

    private final List<String> names = new ArrayList<>(USUAL_FIELDS);
    private final List<String> values = new ArrayList<>(USUAL_FIELDS);

    private MessageHead(String firstWord, String secondWord, String thirdWord) {
        this.firstWord = firstWord;
        this.secondWord = secondWord;
        this.thirdWord = thirdWord;
    }

    /** The head of a new HTTP/1.1 request, without fields. */
    public static MessageHead newRequest(String method, String target) {
        return new MessageHead(method, target, HTTP_1_1);
    }

    // ---- reading

    /** The position behind the blank line that ends a head, or -1 while it has not come. */
    public static int endOf(byte[] buffer, int from, int to) {
        for (var i = Math.max(from, END_LOOK_BACK); i < to; i++) {
            if (buffer[i] == '\n'
                    && buffer[i - 1] == '\r'
                    && buffer[i - 2] == '\n'
                    && buffer[i - END_LOOK_BACK] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    /**
     * Reads the head of a request.
     *
     * @throws MalformedMessageException if it is no head of an HTTP/1.x request
     */
    public static MessageHead readRequest(byte[] buffer, int from, int end) {
        var head = read(buffer, from, end);
        if (!isToken(head.firstWord)
                || !head.secondWord.startsWith("/")
                || !head.thirdWord.equals(HTTP_1_1) && !head.thirdWord.equals(HTTP_1_0)) {
            throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "start line");
        }
        for (var i = 0; i < head.secondWord.length(); i++) {
            if (head.secondWord.charAt(i) <= ' ' || head.secondWord.charAt(i) >= DELETE) {
                throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "target");
            }
        }
        return head;
    }

    /**
     * Reads the head of a response.
     *
     * @throws MalformedMessageException if it is no head of an HTTP/1.x response
     */
    public static MessageHead readResponse(byte[] buffer, int from, int end) {
        var head = read(buffer, from, end);
        if (!head.firstWord.startsWith(ANY_HTTP_1)
                || head.secondWord.length() != STATUS_DIGITS
                || !isDecimal(head.secondWord)) {
            throw new MalformedMessageException(HttpStatus.BAD_GATEWAY, "status line");
        }
        return head;
    }

    private static MessageHead read(byte[] buffer, int from, int end) {
        var text = new String(buffer, from, end - from - END_BYTES, StandardCharsets.ISO_8859_1);
        var lineEnd = endOfLine(text, 0);
        var words = text.substring(0, lineEnd).split(" ", START_LINE_WORDS);
        if (words.length < 2) {
            throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "start line");
        }
        var head = new MessageHead(words[0], words[1], words.length > 2 ? words[2] : "");
        while (lineEnd < text.length()) {
            var lineStart = lineEnd + CRLF.length();
            lineEnd = endOfLine(text, lineStart);
            head.readField(text.substring(lineStart, lineEnd));
        }
        head.retainedBytes = retainedBytes(text, head.names.size());
        return head;
    }

    private static int endOfLine(String text, int from) {
        var end = text.indexOf(CRLF, from);
        return end < 0 ? text.length() : end;
    }

    /** Counts each field, and each item of a list that a field may be read as. */
    private static int retainedBytes(String text, int fields) {
        var items = fields;
        for (var comma = text.indexOf(','); comma >= 0; comma = text.indexOf(',', comma + 1)) {
            items++;
        }
        return COPIES * text.length() + ITEM_BYTES * items;
    }

    private void readField(String line) {
        var colon = line.indexOf(':');
        if (colon < 1 || !isToken(line.substring(0, colon))) {
            throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "field name");
        }
        var value = line.substring(colon + 1).strip();
        for (var i = 0; i < value.length(); i++) {
            var letter = value.charAt(i);
            if (letter < ' ' && letter != '\t' || letter == DELETE) {
                throw new MalformedMessageException(HttpStatus.BAD_REQUEST, "field value");
            }
        }
        names.add(line.substring(0, colon));
        values.add(value);
    }

    private static boolean isToken(String text) {
        for (var i = 0; i < text.length(); i++) {
            if (!isTokenCharacter(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isTokenCharacter(char letter) {
        return letter >= 'a' && letter <= 'z'
                || letter >= 'A' && letter <= 'Z'
                || letter >= '0' && letter <= '9'
                || "!#$%&'*+-.^_`|~".indexOf(letter) >= 0;
    }

    private static boolean isDecimal(String text) {
        for (var i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** What a head that was read takes of the heap while its request is open; 0 for a new one. */
    public int retainedBytes() {
        return retainedBytes;
    }

    // ---- the start line

    /** The method of a request. */
    public String method() {
        return firstWord;
    }

    /** The target of a request without its query. */
    public String path() {
        var query = secondWord.indexOf('?');
        return query < 0 ? secondWord : secondWord.substring(0, query);
    }

    /** The status of a response. */
    public int status() {
        return Integer.parseInt(secondWord);
    }

    // ---- fields

    /** The value of the first field of this name, or the empty string. */
    public String get(String name) {
        for (var i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return "";
    }

    /** How many fields have this name. */
    public int count(String name) {
        var count = 0;
        for (var each : names) {
            if (each.equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }

    public boolean has(String name) {
        return count(name) > 0;
    }

    /** Replaces all fields of this name by one at the end. */
    public void set(String name, String value) {
        remove(name);
        names.add(name);
        values.add(value);
    }

    /** Removes all fields of this name. */
    public void remove(String name) {
        for (var i = names.size() - 1; i >= 0; i--) {
            if (names.get(i).equalsIgnoreCase(name)) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    /** Removes the fields that concern one connection, and those that Connection names. */
    public void removeHopByHopFields() {
        var nominated = new HashSet<String>();
        for (var i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(HeaderField.CONNECTION)) {
                for (var name : values.get(i).split(",")) {
                    nominated.add(name.strip().toLowerCase(Locale.ROOT));
                }
            }
        }
        for (var i = names.size() - 1; i >= 0; i--) {
            var name = names.get(i).toLowerCase(Locale.ROOT);
            if (HOP_BY_HOP.contains(name) || nominated.contains(name) && !name.startsWith("x-")) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    /** Whether the sender closes the connection behind this message. */
    public boolean closesConnection() {
        var connection = get(HeaderField.CONNECTION).toLowerCase(Locale.ROOT);
        return connection.contains("close")
                || (firstWord.equals(HTTP_1_0) || thirdWord.equals(HTTP_1_0))
                        && !connection.contains("keep-alive");
    }

    /**
     * The length of the body in bytes: 0 where none is given, {@link #CHUNKED} when it comes in
     * chunks.
     *
     * @param malformedStatus the status for a framing that could be read in two ways
     * @throws MalformedMessageException if the framing is doubtful or the body too long
     */
    public int bodyLength(int malformedStatus) {
        if (has(HeaderField.TRANSFER_ENCODING)) {
            if (has(HeaderField.CONTENT_LENGTH)
                    || count(HeaderField.TRANSFER_ENCODING) > 1
                    || !get(HeaderField.TRANSFER_ENCODING).equalsIgnoreCase("chunked")) {
                throw new MalformedMessageException(malformedStatus, "framing");
            }
            return CHUNKED;
        }
        return has(HeaderField.CONTENT_LENGTH) ? contentLength(malformedStatus) : 0;
    }

    private int contentLength(int malformedStatus) {
        var digits = get(HeaderField.CONTENT_LENGTH);
        if (count(HeaderField.CONTENT_LENGTH) > 1
                || digits.isEmpty()
                || digits.length() > MAX_LENGTH_DIGITS
                || !isDecimal(digits)) {
            throw new MalformedMessageException(malformedStatus, "framing");
        }
        var length = Long.parseLong(digits);
        if (length > MAX_BODY_BYTES) {
            throw new MalformedMessageException(
                    malformedStatus == HttpStatus.BAD_REQUEST
                            ? HttpStatus.CONTENT_TOO_LARGE
                            : malformedStatus,
                    "length");
        }
        return (int) length;
    }

    // ---- writing

    /** A copy of the head of a request, to be edited and sent as HTTP/1.1. */
    public MessageHead copyRequest() {
        var copy = newRequest(firstWord, secondWord);
        copy.names.addAll(names);
        copy.values.addAll(values);
        return copy;
    }

    /** The bytes of the whole head, with the blank line behind it. */
    public byte[] encode() {
        return startLineAndFields().append(CRLF).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The bytes of the start line and the fields, to which further fields can be appended. */
    public byte[] encodeWithoutBlankLine() {
        return startLineAndFields().toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private StringBuilder startLineAndFields() {
        var text = new StringBuilder(USUAL_BYTES).append(firstWord).append(' ').append(secondWord);
        if (!thirdWord.isEmpty() || firstWord.startsWith("HTTP/")) {
            text.append(' ').append(thirdWord);
        }
        text.append(CRLF);
        for (var i = 0; i < names.size(); i++) {
            text.append(names.get(i)).append(": ").append(values.get(i)).append(CRLF);
        }
        return text;
    }
}
