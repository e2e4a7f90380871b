package martenloom.edge.dispatch;

import io.activej.eventloop.Eventloop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of clients, in the order in which they came. Their number is bounded by the
 * file descriptors of this edge. Runs on the reactor thread.
 */
final class ClientConnections {
    /** File descriptors that are left to other things than clients and their replicas. */
    private static final int RESERVED_FDS = 200;

    private final Eventloop loop;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    ClientConnections(Eventloop loop, int maxFileDescriptors) {
        this.loop = loop;
        maxConnections = (maxFileDescriptors - RESERVED_FDS) / 2;
    }

    /** Adds a connection; one too many is closed at once. */
    void add(ClientConnection connection) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            loop.post(connection::close);
        }
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    /** Whether bytes of a response are still on their way to some client. */
    boolean anyUnsentBytes() {
        return connections.stream().anyMatch(connection -> connection.unsentBytes() > 0);
    }

    void enforceTimeouts(long nowUs) {
        for (var connection : List.copyOf(connections)) {
            connection.enforceTimeouts(nowUs);
        }
    }

    void closeIdle() {
        for (var connection : List.copyOf(connections)) {
            if (connection.idle()) {
                connection.close();
            }
        }
    }
}
