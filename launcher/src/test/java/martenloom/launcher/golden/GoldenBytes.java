package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * One resource of recorded bytes: a line for each value, its name, an equals sign and its bytes in
 * hexadecimal. What a test encodes must be exactly what was recorded.
 */
final class GoldenBytes {
    private final Map<String, String> recorded = new TreeMap<>();

    /**
     * @param resource the name of the file in the folder of recorded bytes
     */
    GoldenBytes(String resource) {
        try (var in = GoldenBytes.class.getResourceAsStream("/golden/" + resource)) {
            assertNotNull(in, resource);
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> line.split(" = ", -1))
                    .forEach(line -> recorded.put(line[0], line[1]));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Checks that these bytes are the recorded ones of that name. */
    void check(String name, byte[] bytes) {
        assertEquals(recorded.get(name), HexFormat.of().formatHex(bytes), name);
    }

    /** The recorded bytes of that name. */
    byte[] bytes(String name) {
        assertNotNull(recorded.get(name), name);
        return HexFormat.of().parseHex(recorded.get(name));
    }
}
