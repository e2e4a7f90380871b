package martenloom.edge.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The role leases that an edge was granted, each until a moment on its own clock. A lease runs from
 * the moment at which the edge requested it, less a margin, so that it ends here before the core
 * may grant the role to another. A grant with an older fencing token than the one known changes
 * nothing, however late it comes. No input or output, no clock. Runs on the reactor thread.
 */
public final class HeldLeases {
    /** Lost to the difference of the clocks' rates and to the time between check and use. */
    private static final long MARGIN_US = 300_000;

    private record Lease(long fencingToken, long untilUs) {}

    private static final Lease NONE = new Lease(0, 0);

    private final Map<String, Lease> leases = new TreeMap<>();

    /**
     * Takes a grant or its renewal.
     *
     * @param requestedUs when this edge requested it; one from the future is none of ours
     * @return whether it counts
     */
    public boolean onGrant(
            String role, long fencingToken, long requestedUs, long leaseUs, long now) {
        var known = leases.getOrDefault(role, NONE);
        if (fencingToken < known.fencingToken || requestedUs > now) {
            return false;
        }
        var untilUs = requestedUs + leaseUs - MARGIN_US;
        var renewed = fencingToken == known.fencingToken;
        leases.put(
                role,
                new Lease(fencingToken, renewed ? Math.max(known.untilUs, untilUs) : untilUs));
        return true;
    }

    /** Whether the lease of a role runs. */
    public boolean holds(String role, long now) {
        return fencingToken(role, now).isPresent();
    }

    /** The fencing token of a role while its lease runs. */
    public Optional<Long> fencingToken(String role, long now) {
        return Optional.ofNullable(leases.get(role))
                .filter(lease -> now < lease.untilUs)
                .map(Lease::fencingToken);
    }

    /** The roles held now, with their fencing tokens; the caller may change the map. */
    public Map<String, Long> heldRoles(long now) {
        var held = new TreeMap<String, Long>();
        leases.forEach(
                (role, lease) -> {
                    if (now < lease.untilUs) {
                        held.put(role, lease.fencingToken);
                    }
                });
        return held;
    }

    /** For the shell: one line for each role that was ever granted. */
    public String text(long now) {
        var lines = new StringBuilder();
        leases.forEach(
                (role, lease) ->
                        lines.append(
                                String.format(
                                        "%s grant %d left %d ms\n",
                                        role,
                                        lease.fencingToken,
                                        Math.max(0, lease.untilUs - now) / 1000)));
        return lines.toString();
    }
}
