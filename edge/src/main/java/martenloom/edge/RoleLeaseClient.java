package martenloom.edge;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.lease.HeldLeases;
import martenloom.routing.route.ServiceSpec;

/**
 * The duties of this edge: which there are in its region, which it asks the core for, and which it
 * holds by a running lease. A grant counts only when it names this life of the edge as the holder.
 * All methods run on the thread of the reactor.
 */
final class RoleLeaseClient {
    private final Settings settings;
    private final RequestDispatcher dispatcher;
    private final long life;
    private final HeldLeases held = new HeldLeases();

    RoleLeaseClient(Settings settings, RequestDispatcher dispatcher, long life) {
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.life = life;
    }

    /**
     * Who holds a duty is one life of an edge, so that a restarted one is a successor like any
     * other.
     */
    String holder() {
        return settings.ipAddress() + "#" + Long.toHexString(life);
    }

    /** The duty of running the region's deferred jobs. */
    String jobDuty() {
        return "jobs/" + settings.region();
    }

    /** The duty of ordering how many replicas the region's services have. */
    String scaleDuty() {
        return "scale/" + settings.region();
    }

    private String reportDuty(String model) {
        return settings.region() + "/" + model;
    }

    /**
     * The duties that an edge which is ready asks for: the overload reports of each model with
     * replicas in the region, scaling when there is such a model, and the jobs.
     *
     * @param jobsExist whether there are jobs to run or at hand
     */
    Collection<String> wanted(boolean jobsExist) {
        var wanted = new TreeSet<String>();
        dispatcher.table().services().values().stream()
                .filter(service -> service.inferenceEngine() && hasReplicaInRegion(service))
                .forEach(service -> wanted.add(reportDuty(service.model())));
        if (!wanted.isEmpty()) {
            wanted.add(scaleDuty());
        }
        if (jobsExist) {
            wanted.add(jobDuty());
        }
        return wanted;
    }

    private boolean hasReplicaInRegion(ServiceSpec service) {
        return dispatcher.replicaTable.ofService(service.name()).stream()
                .anyMatch(slot -> slot.region().equals(settings.region()));
    }

    /**
     * Takes a grant or its renewal that names this edge as the holder.
     *
     * @return whether it counts
     */
    boolean granted(String duty, long grant, long askedUs, long leaseUs, long now) {
        return held.granted(duty, grant, askedUs, leaseUs, now);
    }

    /** Whether the lease of the job duty runs. */
    boolean holdsJobs(long now) {
        return held.holds(jobDuty(), now);
    }

    /** The grant of the scale duty while its lease runs. */
    Optional<Long> scaleGrant(long now) {
        return held.grantInForce(scaleDuty(), now);
    }

    /** The overload reports that this edge has to make now, by region and model, with grants. */
    Map<String, Long> heldReports(long now) {
        var reports = held.held(now);
        reports.remove(jobDuty());
        reports.remove(scaleDuty());
        return reports;
    }

    /** One line for each duty that was ever granted. */
    String text(long now) {
        return held.text(now);
    }
}
