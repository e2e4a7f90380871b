package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * The connections whose clients have sent a further request before they had the response to the
 * last one. Such a request is begun at once where nobody waits for a replica. Else these
 * connections go on one after another, so that however much was sent ahead, there is room for the
 * requests of others. Runs on the reactor thread.
 */
final class SentAheadRequests {
    /** So many go on at each tick while no request waits. */
    private static final int MAX_AT_A_TICK = 16;

    private final Eventloop loop;
    private final BooleanSupplier anyWaiting;
    private final Deque<Runnable> inOrder = new ArrayDeque<>();

    /**
     * @param anyWaiting whether any request waits for a replica
     */
    SentAheadRequests(Eventloop loop, BooleanSupplier anyWaiting) {
        this.loop = loop;
        this.anyWaiting = anyWaiting;
    }

    /** Lets a connection go on: in the reactor's next turn, or in its turn among the others. */
    void add(Runnable goOn) {
        if (inOrder.isEmpty() && !anyWaiting.getAsBoolean()) {
            loop.post(goOn);
        } else {
            inOrder.addLast(goOn);
        }
    }

    /** Called at each tick. */
    void tick() {
        var count = anyWaiting.getAsBoolean() ? 1 : MAX_AT_A_TICK;
        for (var i = 0; i < count && !inOrder.isEmpty(); i++) {
            inOrder.removeFirst().run();
        }
    }
}
