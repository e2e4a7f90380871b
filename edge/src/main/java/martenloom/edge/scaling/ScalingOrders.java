package martenloom.edge.scaling;

import java.util.function.Consumer;
import martenloom.edge.home.CoreCommand;
import martenloom.edge.home.CoreReply;
import martenloom.edge.home.CoreRequest;
import martenloom.edge.home.CoreRequests;

/**
 * Sends the scaler's orders to the core, where they are kept. Replicas are not notified: an
 * unloaded one gets no new prompts from any edge and drains. Runs on the reactor thread.
 */
public final class ScalingOrders {
    private final CoreRequests core;

    /** Tells each order from the one before. */
    private long orders;

    public ScalingOrders(CoreRequests core) {
        this.core = core;
    }

    void send(ScalingOrder order, Consumer<CoreReply> onReply) {
        core.send(
                new CoreRequest(
                        CoreCommand.SET_REPLICA_COUNT,
                        order.key(),
                        order.fencingToken(),
                        ++orders,
                        body(order)),
                onReply);
    }

    /** The count, then the unloaded replicas, each on a line. */
    private static String body(ScalingOrder order) {
        var lines = new StringBuilder();
        lines.append(order.wantsAll() ? "all" : String.valueOf(order.desired()));
        order.unloaded().forEach(id -> lines.append('\n').append(id));
        return lines.toString();
    }
}
