package martenloom.common.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The requests that a daemon has sent to others and that are not answered yet. A request is named
 * by the life of its sender and a counter, so that no two lives use the same id, and is bound to
 * the channel on which it was sent: an answer counts only with that id and from that channel.
 * Whatever else arrives is dropped, and the caller is told with the status 503 that the outcome is
 * unknown, when the request expires or its channel closes. Every caller is told exactly once.
 *
 * @param <C> the kind of channel, compared by identity
 */
public final class PendingRequests<C> {
    /** What a caller is told when no answer came: the request may have been carried out or not. */
    public static final int UNKNOWN_OUTCOME = 503;

    /**
     * The id of one request: a number drawn at random in each life of its sender, and a counter.
     */
    public record RequestId(long life, long number) {
        public void write(RecordWriter out) {
            out.i64(life).i64(number);
        }

        public static RequestId read(RecordReader in) {
            return new RequestId(in.i64(), in.i64());
        }
    }

    private record Pending<C>(C channel, BiConsumer<Integer, String> reply) {}

    private final long life;
    private final Map<RequestId, Pending<C>> pending = new HashMap<>();
    private long sent;

    /**
     * @param life a random number that no other life of this daemon uses
     */
    public PendingRequests(long life) {
        this.life = life;
    }

    /** Registers a request that is about to be sent on this channel. */
    public RequestId open(C channel, BiConsumer<Integer, String> reply) {
        var id = new RequestId(life, ++sent);
        pending.put(id, new Pending<>(channel, reply));
        return id;
    }

    /**
     * Passes an answer on to its caller; false when it is not the answer to a pending request of
     * this channel.
     */
    public boolean answered(RequestId id, C channel, int status, String text) {
        var request = Optional.ofNullable(pending.get(id)).filter(p -> p.channel == channel);
        if (request.isEmpty()) {
            return false;
        }
        pending.remove(id);
        request.get().reply.accept(status, text);
        return true;
    }

    /** Gives up a request that had no answer in time; does nothing if it was answered. */
    public void expire(RequestId id, String why) {
        Optional.ofNullable(pending.remove(id))
                .ifPresent(p -> p.reply.accept(UNKNOWN_OUTCOME, why));
    }

    /** Gives up all requests of a channel that has closed: their answers can only come on it. */
    public void closed(C channel, String why) {
        var lost = new ArrayList<Pending<C>>();
        Predicate<Pending<C>> onIt = p -> p.channel == channel;
        pending.values().stream().filter(onIt).forEach(lost::add);
        pending.values().removeIf(onIt);
        lost.forEach(p -> p.reply.accept(UNKNOWN_OUTCOME, why));
    }

    /** How many requests wait for an answer. */
    public int size() {
        return pending.size();
    }
}
