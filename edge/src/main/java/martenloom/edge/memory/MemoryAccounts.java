package martenloom.edge.memory;

import martenloom.common.callers.CallerBounds;
import martenloom.common.callers.MemoryAccount;
import martenloom.common.settings.Settings;

/**
 * What this edge may hold of messages: one bound, in two parts, so that requests that wait for
 * their responses never take the room that these need.
 *
 * @param requests all that clients make this edge hold: their connections, what was read ahead of
 *     them, the heads and the bodies of requests, from their first byte to the end of the request
 * @param responses the bodies of responses that are no streams, until they have gone out, and what
 *     waits to go out of streams
 */
public record MemoryAccounts(MessageMemory requests, MessageMemory responses) {
    /** What messages may take together of what the process may use, and of its heap. */
    private static final double SHARE = 0.5;

    private static final long BYTES_PER_MB = 1 << 20;

    /** The accounts of an edge with these settings. */
    public static MemoryAccounts of(Settings settings) {
        var limitBytes = settings.memoryMb() * BYTES_PER_MB;
        var requestBytes = CallerBounds.ofEdge(settings).bytes();
        var bytes = Math.min(limitBytes, Runtime.getRuntime().maxMemory()) * SHARE;
        return new MemoryAccounts(
                new MessageMemory(new MemoryAccount(requestBytes)),
                new MessageMemory((long) (bytes - requestBytes)));
    }
}
