package martenloom.common.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The requests that a daemon has sent to others and that are not answered yet. A request is named
 * by a {@link RequestId}, so that no two incarnations of a daemon use the same id, and is bound to
 * the channel on which it was sent: a response counts only with that id and from that channel, and
 * any other is dropped. When the request expires or its channel closes, the caller gets the status
 * 503: the outcome is unknown. Each caller is answered exactly once. Not thread-safe: runs on the
 * thread of its owner.
 *
 * @param <C> the type of channel, compared by identity
 */
public final class PendingRequests<C> {
    /** The status when no response came: the request may have been carried out or not. */
    public static final int UNKNOWN_OUTCOME = 503;

    private record Pending<C>(C channel, BiConsumer<Integer, String> callback) {}

    private final long incarnation;
    private final Map<RequestId, Pending<C>> pending = new HashMap<>();
    private long registered;

    /**
     * @param incarnation a random number that no other run of this daemon uses
     */
    public PendingRequests(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Registers a request that is about to be sent on this channel.
     *
     * @param callback takes the status and the text of the response
     */
    public RequestId register(C channel, BiConsumer<Integer, String> callback) {
        var id = new RequestId(incarnation, ++registered);
        pending.put(id, new Pending<>(channel, callback));
        return id;
    }

    /**
     * Passes a response on to the caller; false when it does not belong to a pending request of
     * this channel.
     */
    public boolean complete(RequestId id, C channel, int status, String text) {
        var request =
                Optional.ofNullable(pending.get(id)).filter(found -> found.channel == channel);
        if (request.isEmpty()) {
            return false;
        }
        pending.remove(id);
        request.get().callback.accept(status, text);
        return true;
    }

    /** Gives up a request that had no response in time; does nothing if it had one. */
    public void expire(RequestId id, String reason) {
        Optional.ofNullable(pending.remove(id))
                .ifPresent(request -> request.callback.accept(UNKNOWN_OUTCOME, reason));
    }

    /** Gives up all requests of a channel that has closed: responses can only come on it. */
    public void channelClosed(C channel, String reason) {
        var lost = new ArrayList<Pending<C>>();
        Predicate<Pending<C>> ofChannel = request -> request.channel == channel;
        pending.values().stream().filter(ofChannel).forEach(lost::add);
        pending.values().removeIf(ofChannel);
        lost.forEach(request -> request.callback.accept(UNKNOWN_OUTCOME, reason));
    }

    /** How many requests wait for a response. */
    public int size() {
        return pending.size();
    }
}
