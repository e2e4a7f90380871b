package martenloom.simulation.network;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;

/**
 * The connections between members, as TCP gives them: each member dials every other one and sends
 * its records on its own connection; answers go back on the connection of their request. Records of
 * one connection keep their order. What is sent into a partition waits for its end. A connection
 * that was silent for too long is closed by its dialer; what waited on it is lost or still arrives,
 * late, beside what its successor carries.
 */
public final class SimulatedNetwork {
    private static final long SILENCE_TIMEOUT_US = 2_000_000;
    private static final long REDIAL_US = 200_000;

    private static final Comparator<SimulatedConnection> BY_LINK =
            Comparator.comparing(connection -> connection.toListener().link(), Link.BY_ADDRESS);

    private final EventQueue events;
    private final EndpointDirectory endpoints;
    private final NetworkConditions conditions;
    private final Partitions partitions = new Partitions();
    private final RecordTransport transport;
    private final Map<Link, SimulatedConnection> connections = new HashMap<>();

    /** The earliest time at which a link may be dialed again. */
    private final Map<Link, Long> redialAtUs = new HashMap<>();

    /** A network without faults between the endpoints that the directory finds. */
    public SimulatedNetwork(EventQueue events, RandomStream random, EndpointDirectory endpoints) {
        this.events = events;
        this.endpoints = endpoints;
        conditions = new NetworkConditions(random);
        transport = new RecordTransport(events, random, conditions, partitions, endpoints);
    }

    /** Losses, duplicates and delays. */
    public NetworkConditions conditions() {
        return conditions;
    }

    // ---- partitions

    /** Blocks one direction between two machines, once more. */
    public void block(String from, String to) {
        partitions.add(new Link(from, to));
    }

    /** Takes back one blocking of a direction. */
    public void unblock(String from, String to) {
        partitions.remove(new Link(from, to));
        transport.releaseBlocked();
    }

    /** Ends all partitions. */
    public void healAll() {
        partitions.clear();
        transport.releaseBlocked();
    }

    // ---- connections

    /** Keeps a member's connections up: closes silent and broken ones, dials missing ones. */
    public void maintain(NetworkEndpoint dialer, Set<String> others) {
        for (var other : others) {
            var link = new Link(dialer.address(), other);
            var connection = connection(dialer, link);
            if (connection.isPresent()) {
                closeWhenBroken(connection.get());
            } else if (events.nowUs() >= redialAtUs.getOrDefault(link, 0L)) {
                dial(dialer, link);
            }
        }
    }

    private void closeWhenBroken(SimulatedConnection connection) {
        var listener = endpoints.running(connection.listener().address());
        var partitioned = partitions.containsEitherWay(connection.toListener().link());
        var silent = partitioned || listener.map(NetworkEndpoint::isFrozen).orElse(true);
        var restarted = listener.filter(running -> running != connection.listener()).isPresent();
        var silentUs = 0L;
        if (silent) {
            silentUs = connection.markSilent(events.nowUs());
        } else {
            connection.markHeard();
        }
        if (!partitioned && restarted || silentUs > SILENCE_TIMEOUT_US) {
            close(connection);
        }
    }

    private void dial(NetworkEndpoint dialer, Link link) {
        var listener = endpoints.running(link.to());
        if (listener.isEmpty() || partitions.containsEitherWay(link)) {
            redialAtUs.put(link, events.nowUs() + REDIAL_US);
            return;
        }
        connections.put(link, new SimulatedConnection(transport, dialer, listener.get()));
        events.after(conditions.drawDelayUs(), () -> dialer.onConnected(link.to()));
    }

    private void close(SimulatedConnection connection) {
        connection.markClosed();
        redialAtUs.put(connection.toListener().link(), events.nowUs() + REDIAL_US);
        transport.loseBlockedTail(connection.toListener());
        connection.toDialer().blocked().clear();
        connection.dialer().onClosed(connection);
    }

    /** Resets all connections of a machine at once; what was in flight is lost in part. */
    public void reset(String address) {
        connections.values().stream()
                .filter(connection -> connection.isOpen() && connection.involves(address))
                .sorted(BY_LINK)
                .forEach(this::close);
    }

    /** The open connection that an endpoint has dialed to an address. */
    public Optional<SimulatedConnection> connection(NetworkEndpoint from, String to) {
        return connection(from, new Link(from.address(), to));
    }

    private Optional<SimulatedConnection> connection(NetworkEndpoint dialer, Link link) {
        return Optional.ofNullable(connections.get(link))
                .filter(connection -> connection.isOpen() && connection.dialer() == dialer);
    }

    /** Sends a record on the connection to an address; without one the record is dropped. */
    public void send(NetworkEndpoint from, String to, byte[] record) {
        connection(from, to).ifPresent(connection -> connection.send(record));
    }
}
