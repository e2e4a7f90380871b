package martenloom.edge.dispatch;

import java.util.function.Supplier;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;
import martenloom.edge.replica.LatencyPredictor;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.routing.route.RouteTable;

/**
 * Watches replicas that have attempts in hand and say nothing. One that is silent for longer than
 * its load explains is suspected for a while, and the owner is told to move its attempts.
 */
final class SilenceWatch {
    /** For how long before it is suspected the other edges are asked whether they hear it. */
    private static final long WONDER_US = 250_000;

    private static final long SUSPECT_US = 500_000;
    private static final long HEARD_JUST_NOW_US = 300_000;

    private final Supplier<RouteTable> table;

    SilenceWatch(Supplier<RouteTable> table) {
        this.table = table;
    }

    void check(ReplicaEndpoint s, long now) {
        var reachability = s.reachability();
        if (s.attemptCount() == 0
                || !reachability.isUnanswered()
                        && now - reachability.heardUs() < HEARD_JUST_NOW_US) {
            reachability.setSuspecting(false);
            return;
        }
        var since = Math.max(reachability.heardUs(), s.firstSentUs(now));
        var patience = patienceUs(s);
        reachability.setSuspecting(now - since > Math.max(patience / 2, patience - WONDER_US));
        if (now - since < patience || reachability.peersHear(now) && now - since < patience * 2) {
            return;
        }
        if (reachability.suspectedUntilUs() < now) {
            RingLog.debug("replica " + s.id() + " is quiet with " + s.attemptCount() + " attempts");
        }
        reachability.onUnresponsive(SUSPECT_US, now);
        for (var attempt : s.attempts()) {
            attempt.onReplicaUnresponsive(now);
        }
    }

    /**
     * How long a replica with attempts in hand may say nothing. One event of a stream holds some
     * tokens, and between any two of them a piece of another prompt may be read, so a stream that
     * runs may pause for as many pieces.
     */
    private long patienceUs(ReplicaEndpoint s) {
        var svc = table.get().services().get(s.service());
        if (svc == null || !svc.inferenceEngine()) {
            return (long)
                    Math.max(200_000, s.latency().serviceTimeUs() * 5 + s.latency().roundTripUs());
        }
        var unread = s.load().pendingPrefillTokens(Clocks.nowUs());
        if (s.hasPrefilledAttempt()) {
            var pieces = Math.min(unread, LatencyPredictor.PREFILL_CHUNK_TOKENS * svc.stepSize());
            return (long)
                    (450_000
                            + s.latency().roundTripUs()
                            + pieces / s.latency().prefillTokensPerMs() * 1000);
        }
        return (long)
                (500_000
                        + s.latency().roundTripUs()
                        + unread / s.latency().prefillTokensPerMs() * 2000);
    }
}
