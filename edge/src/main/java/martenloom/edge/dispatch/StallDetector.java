package martenloom.edge.dispatch;

import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.replica.LatencyEstimate;
import martenloom.edge.replica.LatencyPredictor;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.routing.route.ServiceSpec;

/**
 * Finds replicas that have attempts in flight and are unresponsive. One that has said nothing for
 * longer than its load explains is suspected for a while, and its attempts are notified. Shortly
 * before that the other edges of the zone are asked whether they hear it; while they do, it is
 * given twice the time. A response that is not read, since its client does not keep up, is no
 * silence of the replica. Runs on the reactor thread.
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

    void check(ReplicaEndpoint replica, long nowUs) {
        var reachability = replica.reachability();
        var heardUs = reachability.heardUs();
        if (replica.attemptCount() == 0
                || !reachability.isUnanswered() && nowUs - heardUs < RECENTLY_HEARD_US) {
            reachability.setSuspecting(false);
            return;
        }
        var unresponsiveUs = nowUs - Math.max(heardUs, replica.awaitedSinceUs(nowUs));
        var patienceUs = patienceUs(replica);
        reachability.setSuspecting(
                unresponsiveUs > Math.max(patienceUs / 2, patienceUs - PROBE_LEAD_US));
        if (unresponsiveUs < patienceUs
                || reachability.peersHear(nowUs)
                        && unresponsiveUs < patienceUs * PATIENCE_FACTOR_IF_HEARD_BY_OTHERS) {
            return;
        }
        suspect(replica, nowUs);
    }

    private static void suspect(ReplicaEndpoint replica, long nowUs) {
        if (replica.reachability().suspectedUntilUs() < nowUs) {
            RingLog.debug(
                    "replica "
                            + replica.id()
                            + " is unresponsive with "
                            + replica.attemptCount()
                            + " attempts in flight");
        }
        replica.reachability().onUnresponsive(SUSPECT_US, nowUs);
        for (var attempt : replica.attempts()) {
            attempt.onReplicaUnresponsive(nowUs);
        }
    }

    /**
     * How long a replica with attempts in flight may say nothing. One event of a stream holds some
     * tokens, and between any two of them a step of another prompt's prefill may run, so a stream
     * may pause for as many steps.
     */
    private long patienceUs(ReplicaEndpoint replica) {
        var service = cluster.table().services().get(replica.service());
        var latency = replica.latency();
        if (service == null || !service.inferenceEngine()) {
            return (long)
                    Math.max(
                            LEAST_PLAIN_US,
                            latency.serviceTimeUs() * USUAL_WORK_FACTOR + latency.roundTripUs());
        }
        var pendingTokens = replica.load().pendingPrefillTokens(Clocks.nowUs());
        if (replica.hasPrefilledAttempt()) {
            return streamPauseUs(latency, service, pendingTokens);
        }
        return (long)
                (PREFILL_BASE_US
                        + latency.roundTripUs()
                        + pendingTokens / latency.prefillTokensPerMs() * SLOW_PREFILL_US_PER_MS);
    }

    private static long streamPauseUs(
            LatencyEstimate latency, ServiceSpec service, int pendingTokens) {
        var stepTokens =
                Math.min(pendingTokens, LatencyPredictor.PREFILL_CHUNK_TOKENS * service.stepSize());
        return (long)
                (STREAM_PAUSE_BASE_US
                        + latency.roundTripUs()
                        + stepTokens / latency.prefillTokensPerMs() * US_PER_MS);
    }
}
