package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A committed file of recorded bytes, one entry per line as {@code name = hex}. The entries are
 * what the program wrote when the file was made; they are never to be made again to get a pass,
 * since members of an older version may have written just these bytes.
 */
public final class GoldenFile {
    private static final String SEPARATOR = " = ";

    private GoldenFile() {}

    /** The entries of a file below the folder {@code golden} of the test resources, in order. */
    public static Map<String, byte[]> read(String fileName) {
        var entries = new LinkedHashMap<String, byte[]>();
        try (var stream = GoldenFile.class.getResourceAsStream("/golden/" + fileName)) {
            assertNotNull(stream, fileName + " is missing");
            var text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            for (var line : text.lines().toList()) {
                var at = line.indexOf(SEPARATOR);
                var hex = line.substring(at + SEPARATOR.length());
                entries.put(line.substring(0, at), HexFormat.of().parseHex(hex));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return entries;
    }

    /** Asserts that exactly the recorded entries were written, each with the recorded bytes. */
    public static void assertRecorded(Map<String, byte[]> recorded, Map<String, byte[]> written) {
        assertEquals(recorded.keySet(), written.keySet());
        recorded.forEach((name, bytes) -> assertSameBytes(name, bytes, written.get(name)));
    }

    /** Asserts that two values have the same bytes, and shows both in hex where they differ. */
    public static void assertSameBytes(String name, byte[] recorded, byte[] written) {
        var hex = HexFormat.of();
        assertEquals(hex.formatHex(recorded), hex.formatHex(written), name);
    }
}
