package martenloom.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import martenloom.common.error.InvalidConfigurationException;

/** SHA-256 digests of a head line with a body. Thread-safe. */
public final class Sha256 {
    private Sha256() {}

    /** The digest of the head, in UTF-8, followed by the body. */
    static byte[] digest(String head, byte[] body) {
        try {
            var sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(head.getBytes(StandardCharsets.UTF_8));
            return sha256.digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new InvalidConfigurationException(
                    "digest configuration", "SHA-256 is not to be had");
        }
    }

    /** The same digest in hexadecimal digits. */
    public static String hexDigest(String head, byte[] body) {
        return HexFormat.of().formatHex(digest(head, body));
    }
}
