package martenloom.edge.home;

import martenloom.common.link.PendingRequests;

/**
 * The reply of the core to a request, or what stands for it when none came.
 *
 * @param status the status, an HTTP code on the wire
 * @param text the result, or the reason of a refusal
 */
public record CoreReply(int status, String text) {
    private static final int ACCEPTED = 200;
    private static final int CONFLICT = 409;

    /** Whether the request was carried out. */
    public boolean isAccepted() {
        return status == ACCEPTED;
    }

    /** Whether the request was refused, as it contradicts the core's state. */
    public boolean isConflict() {
        return status == CONFLICT;
    }

    /** Whether the request may have been carried out or not, so that it must be repeated. */
    public boolean isUnknown() {
        return status == PendingRequests.UNKNOWN_OUTCOME;
    }
}
