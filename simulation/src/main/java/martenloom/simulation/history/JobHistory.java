package martenloom.simulation.history;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenloom.common.jobs.Job;
import martenloom.core.state.ClusterState;

/**
 * The jobs that clients submit and cancel. Once a job was acknowledged and until its cancellation
 * is sent, every edition committed from then on holds it with its body.
 */
public final class JobHistory {
    private record AcknowledgedJob(Job job, long edition) {}

    private final Map<String, AcknowledgedJob> acknowledged = new HashMap<>();
    private ClusterState newest = ClusterState.founded(List.of());

    /** The submission of a job was acknowledged to its client. */
    public void onAcknowledged(Job job) {
        acknowledged.put(job.id(), new AcknowledgedJob(job, newest.edition()));
        check(acknowledged.get(job.id()), newest);
    }

    /** The client of a job is about to cancel it. */
    public void onCancelled(String id) {
        acknowledged.remove(id);
    }

    /** A state was committed for the first time. */
    void onCommitted(ClusterState state) {
        if (state.edition() > newest.edition()) {
            newest = state;
        }
        acknowledged.values().forEach(job -> check(job, state));
    }

    private static void check(AcknowledgedJob known, ClusterState state) {
        if (state.edition() < known.edition) {
            return;
        }
        var kept = state.jobs().find(known.job.id());
        Invariant.KEPT_JOB.check(
                kept.isPresent() && Arrays.equals(kept.get().body(), known.job.body()),
                "job "
                        + known.job.id()
                        + " was acknowledged, and edition "
                        + state.edition()
                        + " does not hold it with its body");
    }
}
