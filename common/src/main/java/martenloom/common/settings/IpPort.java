package martenloom.common.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import martenloom.common.error.InvalidSettingsException;

/** Parses addresses of the form IP:PORT with an IPv4 address, without any look-up of names. */
public final class IpPort {
    private static final int IPV4_BYTES = 4;

    private IpPort() {}

    /**
     * The address; an {@link InvalidSettingsException} if the text is none.
     *
     * @param field the field that holds the text, for the message of the error
     */
    public static InetSocketAddress parse(String field, String text) {
        var colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw invalid(field, text);
        }
        var parts = text.substring(0, colon).split("\\.");
        if (parts.length != IPV4_BYTES) {
            throw invalid(field, text);
        }
        try {
            var bytes = new byte[IPV4_BYTES];
            for (var i = 0; i < IPV4_BYTES; i++) {
                bytes[i] = (byte) Integer.parseInt(parts[i]);
            }
            return new InetSocketAddress(
                    InetAddress.getByAddress(bytes), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw invalid(field, text);
        }
    }

    private static InvalidSettingsException invalid(String field, String text) {
        return SettingsFields.invalid(field, "'" + text + "' is not IP:PORT");
    }
}
