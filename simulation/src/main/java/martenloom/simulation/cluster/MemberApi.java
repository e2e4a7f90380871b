package martenloom.simulation.cluster;

import martenloom.core.state.Command;

/**
 * What a client can reach of a running member. What one client sends is taken in its order; a
 * frozen member takes it once it is awake.
 */
public interface MemberApi {
    /** Takes a command; the callback may never be called if the member ends before. */
    void submit(Object client, Command command, ReplyCallback callback);

    /** Takes the request of a candidate that has chosen this member as its home. */
    void requestLease(Object client, LeaseRequest request, LeaseGrantCallback callback);
}
