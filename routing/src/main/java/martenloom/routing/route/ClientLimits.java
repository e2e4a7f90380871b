package martenloom.routing.route;

/**
 * Bounds on what a client may send and how long it may take, from the configuration.
 *
 * @param maxHeaderBytes the head of a request
 * @param maxBodyBytes the body of a request
 * @param headerTimeoutMs from the first byte of a request to the end of its head
 * @param idleTimeoutMs how long a connection may be idle
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    /** The limits where the configuration sets none. */
    public static final ClientLimits DEFAULT = new ClientLimits(16384, 4 << 20, 3000, 15000);
}
