package martenloom.edge.lifecycle;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import martenloom.common.callers.Callers;
import martenloom.common.callers.HttpCallers;

/**
 * Whether this edge is to be sent requests: not before it has a configuration and knows the
 * replicas, or has waited for them for long enough, and not once it drains. Answers the readiness
 * check. Runs on the reactor thread.
 */
public final class Readiness {
    /** How long after the first fresh configuration the edge is ready whatever it lacks. */
    private static final long MAX_WAIT_US = 3_000_000;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final CompletableFuture<Boolean> whenReady = new CompletableFuture<>();
    private boolean ready;
    private boolean draining;

    /** When a configuration and a fresh home were first there, in microseconds; 0 before. */
    private long configuredAtUs;

    /** Completed when the edge becomes ready. */
    public CompletableFuture<Boolean> whenReady() {
        return whenReady;
    }

    /** Whether the edge has become ready. */
    public boolean isReady() {
        return ready;
    }

    /** Whether the edge is shutting down. */
    public boolean isDraining() {
        return draining;
    }

    /** Whether the edge is to be sent requests. */
    public boolean isServing() {
        return ready && !draining;
    }

    /** The edge shuts down. */
    public void drain() {
        draining = true;
    }

    /** There is a configuration, and the home's knowledge is fresh. */
    public void onConfigured(long now) {
        if (configuredAtUs == 0) {
            configuredAtUs = now;
        }
    }

    /** Whether the edge was configured. */
    public boolean isConfigured() {
        return configuredAtUs != 0;
    }

    /**
     * Becomes ready when nothing is lacking, or when that has lasted for long enough.
     *
     * @return whether it became ready
     */
    public boolean becomeReadyIf(boolean complete, long now) {
        if (ready || !complete && now - configuredAtUs <= MAX_WAIT_US) {
            return false;
        }
        ready = true;
        whenReady.complete(true);
        return true;
    }

    /**
     * Answers the readiness check at an address.
     *
     * @param callers the bounds on the connections of those that check
     */
    public void listen(Eventloop loop, InetSocketAddress address, Callers callers)
            throws IOException {
        var server =
                HttpServer.builder(
                                loop,
                                request ->
                                        HttpResponse.ofCode(isServing() ? OK : UNAVAILABLE)
                                                .withPlainText(isServing() ? "ready" : "not ready")
                                                .toPromise())
                        .withListenAddress(address);
        new HttpCallers(callers).bound(server).build().listen();
    }
}
