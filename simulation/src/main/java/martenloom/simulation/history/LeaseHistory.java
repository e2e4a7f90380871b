package martenloom.simulation.history;

import java.util.HashMap;
import java.util.Map;
import martenloom.core.lease.RoleLeaseService;
import martenloom.core.state.ClusterState;
import martenloom.core.state.RoleLease;

/**
 * The leases as their holders see them: one holder at a time, and fencing tokens that only rise.
 */
public final class LeaseHistory {
    private record Lease(String holder, long fencingToken, long untilUs) {}

    private final Map<String, Lease> newestByRole = new HashMap<>();

    /**
     * A grant has reached a candidate, which may act on it until the lease, counted from its own
     * request, has run out.
     */
    public void onGranted(
            String role, String candidate, long fencingToken, long requestedAtUs, long nowUs) {
        var lease = new Lease(candidate, fencingToken, requestedAtUs + RoleLeaseService.LEASE_US);
        if (lease.untilUs <= nowUs) {
            return;
        }
        var known = newestByRole.get(role);
        if (known != null && !known.holder.equals(candidate)) {
            Invariant.FENCED_LEASE.check(
                    known.untilUs <= nowUs,
                    role + " is granted " + lease + " while the lease of " + known + " runs");
            Invariant.FENCED_LEASE.check(
                    known.fencingToken < fencingToken,
                    role + " is granted " + lease + " after " + known);
        }
        if (known == null || known.fencingToken <= fencingToken) {
            newestByRole.put(role, lease);
        }
    }

    /**
     * Between two neighbouring editions a fencing token stays, or the next number goes to another
     * holder.
     */
    void onNext(ClusterState before, ClusterState after) {
        after.leases().byRole().forEach((role, lease) -> checkNext(role, before, lease));
    }

    private static void checkNext(String role, ClusterState before, RoleLease lease) {
        var token = before.leases().newestToken(role);
        var renewed = before.leases().isHeldBy(role, lease.holder());
        Invariant.FENCED_LEASE.check(
                lease.fencingToken() == (renewed ? token : token + 1),
                role
                        + ": grant "
                        + token
                        + " is followed by grant "
                        + lease.fencingToken()
                        + " of "
                        + lease.holder());
    }
}
