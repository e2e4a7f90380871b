package martenloom.edge.dispatch;

import java.util.List;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.RouteTable;

/**
 * Finds replicas that have attempts in flight and are unresponsive. One that has said nothing for
 * longer than its load explains is suspected for a while, and its attempts are told. Shortly before
 * that the other edges of the zone are asked whether they hear it; while they do, it is given twice
 * the time. Runs on the reactor thread.
 */
final class StallDetector {
    /** How long before a replica is suspected the other edges are asked about it. */
    private static final long PROBE_LEAD_US = 250_000;

    private static final long SUSPECT_US = 500_000;
    private static final long RECENTLY_HEARD_US = 300_000;
    private static final int PATIENCE_FACTOR_IF_HEARD_BY_OTHERS = 2;

    /** A plain service may take this many times its usual time. */
    private static final double USUAL_WORK_FACTOR = 5;

    private static final double LEAST_PLAIN_US = 200_000;
    private static final double PREFILL_BASE_US = 500_000;
    private static final double STREAM_PAUSE_BASE_US = 450_000;

    /** Rates are tokens a millisecond. */
    private static final double US_PER_MS = 1000;

    /** Prefill may take twice as long as the rate of the replica says. */
    private static final double SLOW_PREFILL_US_PER_MS = 2 * US_PER_MS;

    private final ClusterView cluster;

    StallDetector(ClusterView cluster) {
        this.cluster = cluster;
    }

    void check(ReplicaTable.Slot replica, long nowUs) {
        if (replica.attempts.isEmpty()
                || replica.quietSinceUs == 0 && nowUs - replica.heardUs < RECENTLY_HEARD_US) {
            replica.wondering = false;
            return;
        }
        var unresponsiveUs = nowUs - Math.max(replica.heardUs, firstSentUs(replica, nowUs));
        var patienceUs = patienceUs(replica);
        replica.wondering = unresponsiveUs > Math.max(patienceUs / 2, patienceUs - PROBE_LEAD_US);
        if (unresponsiveUs < patienceUs
                || replica.othersHear(nowUs)
                        && unresponsiveUs < patienceUs * PATIENCE_FACTOR_IF_HEARD_BY_OTHERS) {
            return;
        }
        suspect(replica, nowUs);
    }

    private static long firstSentUs(ReplicaTable.Slot replica, long noneUs) {
        var firstUs = Long.MAX_VALUE;
        for (var attempt : replica.attempts) {
            if (attempt.sentUs() > 0) {
                firstUs = Math.min(firstUs, attempt.sentUs());
            }
        }
        return firstUs == Long.MAX_VALUE ? noneUs : firstUs;
    }

    private static void suspect(ReplicaTable.Slot replica, long nowUs) {
        if (replica.suspectUntilUs < nowUs) {
            RingLog.note(
                    "replica "
                            + replica.row.id
                            + " is unresponsive with "
                            + replica.attempts.size()
                            + " attempts in flight");
        }
        replica.suspectUntilUs = Math.max(replica.suspectUntilUs, nowUs + SUSPECT_US);
        replica.doubtful = true;
        for (var attempt : List.copyOf(replica.attempts)) {
            attempt.onReplicaUnresponsive(nowUs);
        }
    }

    /**
     * How long a replica with attempts in flight may say nothing. One event of a stream holds some
     * tokens, and between any two of them a step of another prompt's prefill may run, so a stream
     * may pause for as many steps.
     */
    private long patienceUs(ReplicaTable.Slot replica) {
        var service = cluster.table().services.get(replica.row.service);
        if (service == null || !service.engine) {
            return (long)
                    Math.max(LEAST_PLAIN_US, replica.workUs * USUAL_WORK_FACTOR + replica.rttUs);
        }
        var pendingTokens = replica.unread + replica.othersUnread(Clocks.nowUs());
        if (anyPrefilled(replica)) {
            return streamPauseUs(replica, service, pendingTokens);
        }
        return (long)
                (PREFILL_BASE_US
                        + replica.rttUs
                        + pendingTokens / replica.rate * SLOW_PREFILL_US_PER_MS);
    }

    private static boolean anyPrefilled(ReplicaTable.Slot replica) {
        for (var attempt : replica.attempts) {
            if (attempt.prefilled()) {
                return true;
            }
        }
        return false;
    }

    private static long streamPauseUs(
            ReplicaTable.Slot replica, RouteTable.Service service, int pendingTokens) {
        var stepTokens = Math.min(pendingTokens, ReplicaTable.PIECE * service.stepSize);
        return (long)
                (STREAM_PAUSE_BASE_US + replica.rttUs + stepTokens / replica.rate * US_PER_MS);
    }
}
