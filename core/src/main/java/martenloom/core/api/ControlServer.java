package martenloom.core.api;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.BooleanSupplier;
import martenloom.common.callers.Callers;
import martenloom.common.callers.HttpCallers;
import martenloom.common.settings.IpPort;
import martenloom.common.settings.Settings;

/**
 * Serves the control API over HTTP. During the shutdown every call is sent to another daemon. Runs
 * on the reactor thread.
 */
public final class ControlServer {
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final String CONTROL_PLANE = "ControlPlane";
    private static final String DIRECTORY = "Directory";

    private final Eventloop loop;
    private final Settings settings;
    private final ControlApi api;
    private final BooleanSupplier shuttingDown;
    private final HttpCallers callers;

    /**
     * Opens nothing until {@link #listen} is called.
     *
     * @param callers the bounds on the connections of its callers
     */
    public ControlServer(
            Eventloop loop,
            Settings settings,
            ControlApi api,
            BooleanSupplier shuttingDown,
            Callers callers) {
        this.callers = new HttpCallers(callers);
        this.loop = loop;
        this.settings = settings;
        this.api = api;
        this.shuttingDown = shuttingDown;
    }

    /** The address at which calls are served. */
    public String address() {
        return settings.requiredListenAddress(CONTROL_PLANE);
    }

    /** Opens the listening sockets; lookups may have one of their own. */
    public void listen() throws IOException {
        var addresses = new LinkedHashSet<InetSocketAddress>();
        addresses.add(IpPort.parse(CONTROL_PLANE, address()));
        if (settings.listenAddresses().containsKey(DIRECTORY)) {
            addresses.add(IpPort.parse(DIRECTORY, settings.requiredListenAddress(DIRECTORY)));
        }
        var server =
                HttpServer.builder(
                                loop,
                                request ->
                                        shuttingDown.getAsBoolean()
                                                ? Promise.of(ApiResponses.shuttingDown())
                                                : api.serve(request))
                        .withListenAddresses(List.copyOf(addresses))
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .withMaxBodySize(MAX_BODY_BYTES);
        callers.bound(server).build().listen();
    }
}
