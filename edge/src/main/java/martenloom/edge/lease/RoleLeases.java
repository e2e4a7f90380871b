package martenloom.edge.lease;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import martenloom.common.settings.Settings;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;
import martenloom.routing.route.ServiceSpec;

/**
 * The singleton roles of this edge's region: which there are, which of them it requests of the
 * core, and which it holds by a running lease. A grant counts only when it names this incarnation
 * of the edge as the holder. Runs on the reactor thread.
 */
public final class RoleLeases {
    private final Settings settings;
    private final RoutingView routing;
    private final ReplicaTable replicaTable;
    private final String holder;
    private final String jobRole;
    private final String scalingRole;
    private final HeldLeases held = new HeldLeases();

    /**
     * Creates the roles, none of them held.
     *
     * @param incarnation a random number that no other run of this edge uses
     */
    public RoleLeases(
            Settings settings, RoutingView routing, ReplicaTable replicaTable, long incarnation) {
        this.settings = settings;
        this.routing = routing;
        this.replicaTable = replicaTable;
        holder = settings.ipAddress() + "#" + Long.toHexString(incarnation);
        jobRole = "jobs/" + settings.region();
        scalingRole = "scale/" + settings.region();
    }

    /**
     * The holder of a role is one incarnation of an edge, so that a restarted one is a successor
     * like any other.
     */
    public String holder() {
        return holder;
    }

    private String reportingRole(String model) {
        return settings.region() + "/" + model;
    }

    /**
     * The roles that an edge which is ready requests: the overload reports of each model with
     * replicas in the region, scaling when there is such a model, and the jobs.
     *
     * @param jobsExist whether there are jobs to run or running
     */
    public Collection<String> wanted(boolean jobsExist) {
        var wanted = new TreeSet<String>();
        routing.table().services().values().stream()
                .filter(service -> service.inferenceEngine() && hasReplicaInRegion(service))
                .forEach(service -> wanted.add(reportingRole(service.model())));
        if (!wanted.isEmpty()) {
            wanted.add(scalingRole);
        }
        if (jobsExist) {
            wanted.add(jobRole);
        }
        return wanted;
    }

    private boolean hasReplicaInRegion(ServiceSpec service) {
        return replicaTable.ofService(service.name()).stream()
                .anyMatch(replica -> replica.region().equals(settings.region()));
    }

    /**
     * Takes a grant or its renewal that names this edge as the holder.
     *
     * @return whether it counts
     */
    public boolean onGrant(
            String role, long fencingToken, long requestedUs, long leaseUs, long now) {
        return held.onGrant(role, fencingToken, requestedUs, leaseUs, now);
    }

    /** Whether this is the role of running the region's deferred jobs. */
    public boolean isJobRole(String role) {
        return role.equals(jobRole);
    }

    /** Whether this edge may run the region's deferred jobs. */
    public boolean holdsJobRole(long now) {
        return held.holds(jobRole, now);
    }

    /** The fencing token under which this edge may scale the region's services. */
    public Optional<Long> scalingToken(long now) {
        return held.fencingToken(scalingRole, now);
    }

    /** The reporting roles held now, by region and model, with their fencing tokens. */
    public Map<String, Long> heldReportingRoles(long now) {
        var roles = held.heldRoles(now);
        roles.remove(jobRole);
        roles.remove(scalingRole);
        return roles;
    }

    /** For the shell: one line for each role that was ever granted. */
    public String text(long now) {
        return held.text(now);
    }
}
