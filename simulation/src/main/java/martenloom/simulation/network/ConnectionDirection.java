package martenloom.simulation.network;

import java.util.ArrayList;
import java.util.List;

/**
 * One direction of a connection. Records keep their order; those that met a partition are blocked
 * until it heals.
 */
final class ConnectionDirection {
    private final SimulatedConnection connection;
    private final NetworkEndpoint receiver;
    private final Link link;
    private final List<byte[]> blocked = new ArrayList<>();
    private long lastArrivalUs;

    ConnectionDirection(
            SimulatedConnection connection, NetworkEndpoint sender, NetworkEndpoint receiver) {
        this.connection = connection;
        this.receiver = receiver;
        link = new Link(sender.address(), receiver.address());
    }

    SimulatedConnection connection() {
        return connection;
    }

    NetworkEndpoint receiver() {
        return receiver;
    }

    Link link() {
        return link;
    }

    /** Whether this end may still read: a dialer reads nothing from what it has closed. */
    boolean isReadable() {
        return connection.isOpen() || receiver != connection.dialer();
    }

    /** The records that wait for the end of a partition, in order; the list itself. */
    List<byte[]> blocked() {
        return blocked;
    }

    /** The time at which a further record arrives: never before one that was sent earlier. */
    long nextArrivalUs(long earliestUs) {
        lastArrivalUs = Math.max(lastArrivalUs, earliestUs);
        return lastArrivalUs;
    }
}
