package martenloom.edge.replica;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import martenloom.edge.transport.ReplicaConnection;

/**
 * The connections of this edge to one replica: how many are open, which of them are idle, and how
 * long an idle one may be trusted to be open at the other end too. Runs on the reactor thread.
 */
public final class ConnectionPool {
    private static final long MIN_IDLE_TRUST_US = 200_000;

    /** The trust before any connection was found reset; small enough to be multiplied. */
    private static final long UNLIMITED_US = Long.MAX_VALUE / 10;

    /**
     * The share, in tenths, of the idle time of a reset connection that is trusted from then on.
     */
    private static final int TRUSTED_TENTHS = 6;

    private final ArrayDeque<ReplicaConnection> idle = new ArrayDeque<>();
    private int openConnections;
    private long idleTrustUs = UNLIMITED_US;

    /** The connections that are open or being opened. */
    public int openConnections() {
        return openConnections;
    }

    /** Whether no open connection waits for an attempt. */
    public boolean hasNoIdle() {
        return idle.isEmpty();
    }

    /** A connection is being opened. */
    public void onOpening() {
        openConnections++;
    }

    /** A connection was closed, or could not be opened. */
    public void onClosed() {
        openConnections--;
    }

    /** Adds an idle connection, which is used before the others. */
    public void addIdle(ReplicaConnection connection) {
        idle.addFirst(connection);
    }

    /** Removes a connection that is no longer idle. */
    public void removeIdle(ReplicaConnection connection) {
        idle.remove(connection);
    }

    /**
     * Takes an idle connection on which a request may go out; those that have become useless are
     * closed on the way. Where all that are idle have last carried this very request, one of them
     * is closed, so that they make room for the one that will be opened.
     *
     * @param trustUs how long a connection may have been idle
     */
    public Optional<ReplicaConnection> takeIdle(String requestId, long trustUs, long now) {
        Optional<ReplicaConnection> unsuited = Optional.empty();
        for (var i = idle.iterator(); i.hasNext(); ) {
            var connection = i.next();
            if (connection.lastCarried(requestId)) {
                unsuited = Optional.of(connection);
                continue;
            }
            i.remove();
            if (connection.usable(now) && connection.idleUs(now) < trustUs) {
                return Optional.of(connection);
            }
            connection.close();
        }
        unsuited.ifPresent(ReplicaConnection::close);
        return Optional.empty();
    }

    /** Closes the idle connections that can't be used any more. */
    public void closeUnusable(long now) {
        for (var connection : List.copyOf(idle)) {
            if (!connection.usable(now)) {
                connection.close();
            }
        }
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        List.copyOf(idle).forEach(ReplicaConnection::close);
    }

    /**
     * A connection that had been idle for so long was reset when it was used again: this replica
     * closes idle connections sooner than was assumed.
     */
    public void onIdleReset(long idleUs) {
        idleTrustUs =
                Math.max(MIN_IDLE_TRUST_US, Math.min(idleTrustUs, idleUs * TRUSTED_TENTHS / 10));
    }

    /** How long a connection may have been idle to be used again, in microseconds. */
    public long idleTrustUs() {
        return idleTrustUs;
    }
}
