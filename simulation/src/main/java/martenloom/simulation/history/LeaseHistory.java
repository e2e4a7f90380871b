package martenloom.simulation.history;

import java.util.HashMap;
import java.util.Map;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.state.ClusterState;

/** The leases as their holders see them: one holder at a time, and grants that only rise. */
public final class LeaseHistory {
    private record Lease(String holder, long grant, long untilUs) {}

    private final Map<String, Lease> newest = new HashMap<>();
    private int grants;

    /** How many grants reached a candidate. */
    public int grants() {
        return grants;
    }

    /**
     * A candidate may act on this grant until its lease, counted from its own wish, has run out.
     */
    public void onGranted(String key, String holder, long grant, long stampUs, long nowUs) {
        var lease = new Lease(holder, grant, stampUs + RoleLeaseService.LEASE_US);
        if (lease.untilUs <= nowUs) {
            return;
        }
        grants++;
        var held = newest.get(key);
        if (held != null && !held.holder.equals(holder)) {
            check(
                    held.untilUs <= nowUs,
                    "%s is granted %s while the lease of %s runs",
                    key,
                    lease,
                    held);
            check(held.grant < grant, "%s is granted %s after %s", key, lease, held);
        }
        if (held == null || held.grant <= grant) {
            newest.put(key, lease);
        }
    }

    /**
     * Between two neighbouring editions a grant stays, or the next number goes to another holder.
     */
    public void onNext(ClusterState before, ClusterState after) {
        after.duties.forEach(
                (key, duty) -> {
                    var held = before.duties.get(key);
                    var grant = held == null ? 0 : held.grant;
                    var same = held != null && held.holder.equals(duty.holder);
                    check(
                            same ? duty.grant == grant : duty.grant == grant + 1,
                            "%s: grant %s is followed by grant %s of %s",
                            key,
                            grant,
                            duty.grant,
                            duty.holder);
                });
    }

    private static void check(boolean holds, String seen, Object... arguments) {
        if (!holds) {
            throw new InvariantViolation(Invariant.FENCED_LEASE, String.format(seen, arguments));
        }
    }
}
