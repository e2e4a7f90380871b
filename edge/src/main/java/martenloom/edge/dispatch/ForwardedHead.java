package martenloom.edge.dispatch;

import martenloom.edge.http.HeaderField;
import martenloom.edge.http.MessageHead;

/** The head with which a client's request is forwarded to a replica. */
final class ForwardedHead {
    /** Priorities for replicas, from 0 for the most pressing; jobs stand behind all others. */
    private static final int PRIORITY_STEP = 3;

    private static final int LAST_INTERACTIVE_PRIORITY = 7;
    private static final int URGENT_JOB_PRIORITY = 8;
    private static final int JOB_PRIORITY = 9;
    private static final int URGENT = 2;

    private ForwardedHead() {}

    /** The head for one replica, with what is left of the request's time. */
    static MessageHead of(Request request, String replicaId, long leftMs) {
        var original = request.head();
        var head = original.copyRequest();
        head.removeHopByHopFields();
        head.remove(HeaderField.EXPECT);
        head.set(HeaderField.TIME_REMAINING, String.valueOf(leftMs));
        head.set(HeaderField.TARGET_INSTANCE, replicaId);
        if (!request.model().isEmpty()) {
            head.set(HeaderField.REQUEST_PRIORITY, String.valueOf(priority(request)));
        }
        if (!request.lastEventId().isEmpty()) {
            head.set(HeaderField.LAST_EVENT_ID, request.lastEventId());
        }
        if (request.body().length > 0
                || original.has(HeaderField.CONTENT_LENGTH)
                || original.has(HeaderField.TRANSFER_ENCODING)) {
            head.set(HeaderField.CONTENT_LENGTH, String.valueOf(request.body().length));
        }
        return head;
    }

    private static int priority(Request request) {
        if (request.isJob()) {
            return request.jobUrgency() >= URGENT ? URGENT_JOB_PRIORITY : JOB_PRIORITY;
        }
        return Math.min(LAST_INTERACTIVE_PRIORITY, request.route().priority() * PRIORITY_STEP);
    }
}
