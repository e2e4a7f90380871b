package martenloom.launcher.harness;

import java.io.IOException;
import java.util.function.IntSupplier;

/**
 * The operator's and the replicas' side of the control plane's HTTP interface. Thread-safe; the
 * calling thread blocks.
 */
public final class ControlPlaneClient {
    private static final int MOST_ATTEMPTS = 200;
    private static final int OK = 200;
    private static final int CLIENT_ERRORS = 4;
    private static final int STATUS_CLASS = 100;

    private final ClusterLayout layout;
    private final IntSupplier runningCores;

    ControlPlaneClient(ClusterLayout layout, IntSupplier runningCores) {
        this.layout = layout;
        this.runningCores = runningCores;
    }

    /**
     * One call to one core daemon.
     *
     * @param call method and path
     * @param baseRevision the revision that the order builds on; empty where it names none
     */
    public HttpReply call(int core, String call, String baseRevision, String body) {
        return call(layout.control(core), call, baseRevision, body);
    }

    private static HttpReply call(String address, String call, String baseRevision, String body) {
        var base = baseRevision.isEmpty() ? "" : "X-Base-Revision: " + baseRevision + "\r\n";
        var head = call + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" + base;
        return TestHttpClient.call(address, head, body);
    }

    /** A kept connection to one core daemon. */
    public KeptConnection connect(int core) throws IOException {
        return new KeptConnection(TestHttpClient.open(layout.control(core)));
    }

    public HttpReply get(int core, String path) {
        return call(core, "GET " + path, "", "");
    }

    public HttpReply post(int core, String path, String body) {
        return call(core, "POST " + path, "", body);
    }

    /** A call without a body. */
    public HttpReply post(int core, String path) {
        return post(core, path, "");
    }

    /** Orders a configuration at one core daemon. */
    public HttpReply replaceConfiguration(int core, int baseRevision, String configuration) {
        return call(core, "POST /configuration/replace", "" + baseRevision, configuration);
    }

    /**
     * As an operator does: orders the same again, at one daemon after another, until there is an
     * answer that settles it.
     *
     * @return the status; 0 where no daemon settled it
     */
    public int replaceConfiguration(int baseRevision, String configuration) {
        return untilSettled("POST /configuration/replace", "" + baseRevision, configuration);
    }

    /** Orders an update as {@link #replaceConfiguration(int, String)} orders a configuration. */
    public int updateConfiguration(int baseRevision, String update) {
        return untilSettled("POST /configuration/update", "" + baseRevision, update);
    }

    /** Posts as {@link #replaceConfiguration(int, String)} does. */
    public int postUntilSettled(String path, String body) {
        return untilSettled("POST " + path, "", body);
    }

    /** Posts without a body as {@link #replaceConfiguration(int, String)} does. */
    public int postUntilSettled(String path) {
        return postUntilSettled(path, "");
    }

    private int untilSettled(String call, String baseRevision, String body) {
        for (var i = 0; i < MOST_ATTEMPTS; i++) {
            var core = i % Math.max(1, runningCores.getAsInt());
            var status = call(core, call, baseRevision, body).status();
            if (status == OK || status / STATUS_CLASS == CLIENT_ERRORS) {
                return status;
            }
        }
        return 0;
    }

    /** Sends one heartbeat of a replica to one core daemon and gives the status. */
    public int heartbeat(int core, StandInReplica replica, String state) {
        return heartbeat(layout.core(core), replica, state, 0);
    }

    static int heartbeat(String ip, StandInReplica replica, String state, int warmupLeftMs) {
        return call(
                        ip + ":" + ClusterLayout.CONTROL_PORT,
                        "POST /instances/" + replica.id() + "/heartbeat",
                        "",
                        replica.nextHeartbeat(state, warmupLeftMs))
                .status();
    }
}
