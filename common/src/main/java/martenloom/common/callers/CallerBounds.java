package martenloom.common.callers;

import martenloom.common.settings.Settings;

/**
 * How many connections callers may open at the listeners of one process, and how many bytes they
 * may make it hold there. The descriptors that are left serve the daemon's own connections and
 * files.
 *
 * @param connections at the listener of clients, or of the control API
 * @param bytes held for these
 * @param linkConnections at the listener of other daemons
 * @param linkBytes held of records that are not complete, on links from there
 */
public record CallerBounds(int connections, long bytes, int linkConnections, long linkBytes) {
    /** Connections at a listener that few use: the readiness check, links to an edge. */
    public static final int FEW_CONNECTIONS = 32;

    /** Descriptors that are left to other things than callers and those who serve them. */
    private static final int RESERVED_DESCRIPTORS = 200;

    private static final int LINKS_DIVISOR = 4;
    private static final double EDGE_SHARE = 0.325;
    private static final double EDGE_LINKS_SHARE = 0.0625;
    private static final double CORE_SHARE = 0.1875;
    private static final double CORE_LINKS_SHARE = 0.25;
    private static final long BYTES_PER_MB = 1 << 20;

    /** The bounds of an edge; each of its clients may need a connection to a replica. */
    public static CallerBounds ofEdge(Settings settings) {
        var memoryBytes = memoryBytes(settings);
        return new CallerBounds(
                usableDescriptors(settings) / 2,
                (long) (memoryBytes * EDGE_SHARE),
                FEW_CONNECTIONS,
                (long) (memoryBytes * EDGE_LINKS_SHARE));
    }

    /** The bounds of a core daemon. */
    public static CallerBounds ofCore(Settings settings) {
        var memoryBytes = memoryBytes(settings);
        return new CallerBounds(
                usableDescriptors(settings) / 2,
                (long) (memoryBytes * CORE_SHARE),
                usableDescriptors(settings) / LINKS_DIVISOR,
                (long) (memoryBytes * CORE_LINKS_SHARE));
    }

    private static int usableDescriptors(Settings settings) {
        return Math.max(
                LINKS_DIVISOR * FEW_CONNECTIONS,
                settings.maxFileDescriptors() - RESERVED_DESCRIPTORS);
    }

    /** What the process may use: its heap, or the memory of its machine if that is smaller. */
    private static double memoryBytes(Settings settings) {
        var limitBytes = settings.memoryMb() * BYTES_PER_MB;
        return Math.min(limitBytes, Runtime.getRuntime().maxMemory());
    }
}
