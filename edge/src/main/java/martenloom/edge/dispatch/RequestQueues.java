package martenloom.edge.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests that wait for a replica, by service. They are offered again in the order of their
 * rank, then of their arrival; one that has waited for its share of the time is rejected. Runs on
 * the reactor thread.
 */
final class RequestQueues {
    private static final int MAX_QUEUE_LENGTH = 1024;

    /** After how long a client may come again when its request has waited in vain. */
    private static final double RETRY_AFTER_S = 0.4;

    /** What the queues need of the owner of the requests. */
    interface Owner {
        /** Starts an attempt; false when none can be started now. */
        boolean dispatch(Request request, long nowUs);

        void reject(Request request, double retryAfterS);

        /** How long a request may wait for its first attempt. */
        long maxWaitUs(Request request);
    }

    private final Owner owner;
    private final Map<String, Deque<Request>> queues = new TreeMap<>();

    RequestQueues(Owner owner) {
        this.owner = owner;
    }

    /** Adds a request, and answers whether there was room for it. */
    boolean add(Request request) {
        var queue = queues.computeIfAbsent(request.service(), unseen -> new ArrayDeque<>());
        return queue.size() < MAX_QUEUE_LENGTH && queue.add(request);
    }

    boolean anyWaiting() {
        for (var queue : queues.values()) {
            if (!queue.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Offers every waiting request once more. */
    void drain(long nowUs) {
        for (var queue : queues.values()) {
            if (!queue.isEmpty()) {
                drain(queue, nowUs);
            }
        }
    }

    private void drain(Deque<Request> queue, long nowUs) {
        var waiting = new ArrayList<>(queue);
        waiting.sort(
                Comparator.comparingInt((Request request) -> request.route().priority())
                        .thenComparingLong(Request::arrivedUs));
        queue.clear();
        for (var request : waiting) {
            if (request.done() || owner.dispatch(request, nowUs)) {
                continue;
            }
            if (nowUs - request.arrivedUs() > limitUs(request)) {
                owner.reject(request, RETRY_AFTER_S);
            } else {
                queue.addLast(request);
            }
        }
    }

    private long limitUs(Request request) {
        var maxWaitUs = owner.maxWaitUs(request);
        return request.attemptsMade() > 0
                ? Math.max(maxWaitUs, request.totalTimeUs() / 2)
                : maxWaitUs;
    }
}
