package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import martenloom.common.settings.Settings;
import martenloom.edge.budget.RetryBudget;
import martenloom.edge.replica.ReplicaEndpoint;

/**
 * Starts attempts: lets the selector pick a replica, spends the retry budget for all but the first
 * attempt, and counts the attempt in the load of its replica. Runs on the reactor thread.
 */
final class AttemptStarter {
    /** Time-outs of connecting to a replica in the own region and elsewhere. */
    private static final long CONNECT_TIMEOUT_MS = 400;

    private static final long REMOTE_CONNECT_TIMEOUT_MS = 700;

    private final Eventloop loop;
    private final String ownRegion;
    private final ClusterView cluster;
    private final ReplicaSelector selector;
    private final PrefixCacheOwnership prefixCache;
    private final RetryBudget budget;
    private final DispatchCounters counters;

    AttemptStarter(
            Eventloop loop,
            Settings settings,
            ClusterView cluster,
            ReplicaSelector selector,
            PrefixCacheOwnership prefixCache,
            DispatchCounters counters) {
        this.loop = loop;
        ownRegion = settings.region();
        this.cluster = cluster;
        this.selector = selector;
        this.prefixCache = prefixCache;
        this.counters = counters;
        var bounds = settings.bounds();
        budget =
                new RetryBudget(
                        bounds.retryBudgetRatio(),
                        bounds.retryWindowS(),
                        bounds.retryBudgetSlack());
    }

    /** Counts a client's request, by which the retry budget of its service grows. */
    void onRequest(Request request, long nowUs) {
        budget.onRequest(request.service(), nowUs);
    }

    /** Starts an attempt of a request; false if no replica or no budget is there for it now. */
    boolean start(Request request, Attempt.Listener listener, long nowUs) {
        var selected = selector.select(request, nowUs);
        if (selected.isEmpty()) {
            return false;
        }
        var retry = request.attemptsMade() > 0;
        if (retry && !budget.trySpend(request.service(), cluster.edgeCount(), nowUs)) {
            return false;
        }
        if (retry) {
            counters.countRetried();
        }
        var replica = selected.get();
        var attempt = newAttempt(request, replica, listener, nowUs);
        request.setAttempt(attempt);
        if (!request.streaming()) {
            request.become(Request.State.RUNNING);
        }
        attempt.addToLoad();
        rememberPrefix(request, replica, nowUs);
        attempt.start(
                loop,
                replica.region().equals(ownRegion)
                        ? CONNECT_TIMEOUT_MS
                        : REMOTE_CONNECT_TIMEOUT_MS);
        return true;
    }

    private Attempt newAttempt(
            Request request, ReplicaEndpoint replica, Attempt.Listener listener, long nowUs) {
        var cached = prefixCache.isCached(replica, request);
        return new Attempt(
                request,
                replica,
                listener,
                replica.prefixCache().missingTokens(request.prompt(), cached),
                replica.load().pendingPrefillTokens(nowUs),
                certainPrefillTokens(request, replica, cached));
    }

    /**
     * Tokens that the replica certainly has to prefill: all when nobody sent the shared segments
     * there, else the own segment.
     */
    private static int certainPrefillTokens(
            Request request, ReplicaEndpoint replica, boolean cached) {
        var prompt = request.prompt();
        if (prompt.segmentCount() == 0) {
            return prompt.tokens();
        }
        if (!cached
                && prompt.hasLargeShared()
                && !replica.prefixCache().contains(prompt.lastShared())) {
            return prompt.tokens();
        }
        return replica.prefixCache().contains(prompt.own()) ? 0 : prompt.ownTokens();
    }

    /** Engines keep the segments of a prompt for those that come after it. */
    private void rememberPrefix(Request request, ReplicaEndpoint replica, long nowUs) {
        var service = cluster.table().services().get(request.service());
        if (service == null || !service.inferenceEngine()) {
            return;
        }
        var prompt = request.prompt();
        replica.prefixCache().add(prompt, service.cacheTokens());
        if (prompt.hasLargeShared()) {
            prefixCache.onSent(prompt, replica, nowUs);
        }
    }
}
