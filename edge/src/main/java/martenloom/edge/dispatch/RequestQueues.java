package martenloom.edge.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests that wait for a replica, by service. They are offered again in the order of their
 * rank, then of their arrival; one that has waited for its share of the time is refused.
 */
final class RequestQueues {
    private static final int MOST_IN_QUEUE = 1024;
    private static final double REFUSED_WAIT_S = 0.4;

    /** What the queues need of the owner of the requests. */
    interface Owner {
        boolean dispatch(Request e, long now);

        void refuse(Request e, double waitS);

        /** How long a request that was not yet sent may wait. */
        long holdUs(Request e);
    }

    private final Owner owner;
    private final Map<String, Deque<Request>> queues = new TreeMap<>();

    RequestQueues(Owner owner) {
        this.owner = owner;
    }

    /** Adds a request, and answers whether there was room for it. */
    boolean add(Request e) {
        var queue = queues.computeIfAbsent(e.service, k -> new ArrayDeque<>());
        return queue.size() < MOST_IN_QUEUE && queue.add(e);
    }

    boolean anyWaits() {
        return queues.values().stream().anyMatch(q -> !q.isEmpty());
    }

    /** Offers every waiting request once more. */
    void drain(long now) {
        for (var queue : queues.values()) {
            if (!queue.isEmpty()) {
                drain(queue, now);
            }
        }
    }

    private void drain(Deque<Request> queue, long now) {
        var waiting = new ArrayList<>(queue);
        waiting.sort(
                Comparator.comparingInt((Request e) -> e.route.priority())
                        .thenComparingLong(e -> e.arrivedUs));
        queue.clear();
        for (var e : waiting) {
            if (e.done() || owner.dispatch(e, now)) {
                continue;
            }
            if (now - e.arrivedUs > limitUs(e)) {
                owner.refuse(e, REFUSED_WAIT_S);
            } else {
                queue.addLast(e);
            }
        }
    }

    private long limitUs(Request e) {
        var hold = owner.holdUs(e);
        return e.sent > 0 ? Math.max(hold, (e.deadlineUs - e.arrivedUs) / 2) : hold;
    }
}
