package martenloom.simulation;

import java.util.HashMap;
import java.util.Map;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.state.ClusterState;

/** The leases as their holders see them: one holder at a time, and grants that only rise. */
final class LeaseHistory {
    private record Lease(String holder, long grant, long untilUs) {}

    private final Map<String, Lease> newest = new HashMap<>();
    private int grants;

    /** How many grants reached a candidate. */
    int grants() {
        return grants;
    }

    /**
     * A candidate may act on this grant until its lease, counted from its own wish, has run out.
     */
    void onGranted(String key, String holder, long grant, long stampUs, long nowUs) {
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
    void onNext(ClusterState before, ClusterState after) {
        after.leases()
                .byRole()
                .forEach(
                        (key, duty) -> {
                            var held = before.leases().byRole().get(key);
                            var grant = held == null ? 0 : held.fencingToken();
                            var same = held != null && held.holder().equals(duty.holder());
                            check(
                                    same
                                            ? duty.fencingToken() == grant
                                            : duty.fencingToken() == grant + 1,
                                    "%s: grant %s is followed by grant %s of %s",
                                    key,
                                    grant,
                                    duty.fencingToken(),
                                    duty.holder());
                        });
    }

    private static void check(boolean holds, String seen, Object... arguments) {
        if (!holds) {
            throw new Violation(Invariant.FENCED_LEASE, String.format(seen, arguments));
        }
    }
}
