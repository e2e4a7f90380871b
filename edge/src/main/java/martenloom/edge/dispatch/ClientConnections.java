package martenloom.edge.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open connections of clients, in the order in which they came. Runs on the reactor thread. */
final class ClientConnections {
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    void add(ClientConnection connection) {
        connections.add(connection);
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

    /** Whether the body of some request waits for memory. */
    boolean anyWaitsForMemory() {
        return connections.stream().anyMatch(ClientConnection::waitsForMemory);
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
