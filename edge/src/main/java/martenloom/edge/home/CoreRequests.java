package martenloom.edge.home;

import java.util.function.Consumer;

/** The way of requests to the core. */
@FunctionalInterface
public interface CoreRequests {
    /**
     * Sends a request.
     *
     * @param onReply takes the reply, exactly once, on the reactor thread, and never before this
     *     method returns
     */
    void send(CoreRequest request, Consumer<CoreReply> onReply);
}
