package martenloom.edge.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The duties that an edge was granted, each until a moment on its own clock. A lease runs from the
 * moment the edge asked for it, less a margin, so that it ends here before the core may grant the
 * duty to another. A grant that is older than the one known changes nothing, however late it comes.
 */
public final class HeldLeases {
    private static final long MARGIN_US = 300_000;

    private record Lease(long grant, long untilUs) {}

    private final Map<String, Lease> leases = new TreeMap<>();

    /**
     * Takes a grant or its renewal.
     *
     * @param askedUs when this edge asked for it; one from the future is none of ours
     * @return whether it counts
     */
    public boolean granted(String key, long grant, long askedUs, long leaseUs, long now) {
        var known = leases.getOrDefault(key, new Lease(0, 0));
        if (grant < known.grant || askedUs > now) {
            return false;
        }
        var untilUs = askedUs + leaseUs - MARGIN_US;
        leases.put(
                key,
                new Lease(
                        grant, grant == known.grant ? Math.max(known.untilUs, untilUs) : untilUs));
        return true;
    }

    public boolean holds(String key, long now) {
        return grantInForce(key, now).isPresent();
    }

    /** The grant of a duty while its lease runs. */
    public Optional<Long> grantInForce(String key, long now) {
        return Optional.ofNullable(leases.get(key)).filter(l -> now < l.untilUs).map(Lease::grant);
    }

    /** The duties held now, with their grants. */
    public Map<String, Long> held(long now) {
        var held = new TreeMap<String, Long>();
        leases.forEach(
                (key, lease) -> {
                    if (now < lease.untilUs) {
                        held.put(key, lease.grant);
                    }
                });
        return held;
    }

    /** One line for each duty that was ever granted. */
    public String text(long now) {
        var lines = new StringBuilder();
        leases.forEach(
                (key, l) ->
                        lines.append(
                                String.format(
                                        "%s grant %d left %d ms\n",
                                        key, l.grant, Math.max(0, l.untilUs - now) / 1000)));
        return lines.toString();
    }
}
