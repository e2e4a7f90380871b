package martenloom.edge.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that this edge may send each second to replicas that warm up, as the homes lent them
 * to it, each lease until a moment on this edge's clock. Runs on the reactor thread.
 */
public final class WarmupPermits {
    /** An attempt that is chosen now may be sent up to this much later. */
    private static final long MAX_OPENING_US = 500_000;

    /** The requests a second that a home lends at one replica. */
    public record Permit(String replica, int sendsPerSecond) {}

    private record Lease(long untilUs, Map<String, Integer> sendsPerSecond) {}

    private final Map<String, Lease> leases = new HashMap<>();

    /** Takes what a home lends, in place of what it lent before. */
    public void onLease(String home, long untilUs, Collection<Permit> permits) {
        var sendsPerSecond = new HashMap<String, Integer>();
        permits.forEach(permit -> sendsPerSecond.put(permit.replica, permit.sendsPerSecond));
        leases.put(home, new Lease(untilUs - MAX_OPENING_US, sendsPerSecond));
    }

    /** The requests that this edge may send to a replica in a second. */
    public int sendsPerSecond(String replica, long now) {
        var sends = 0;
        for (var lease : leases.values()) {
            sends += now < lease.untilUs ? lease.sendsPerSecond.getOrDefault(replica, 0) : 0;
        }
        return sends;
    }
}
