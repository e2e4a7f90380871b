package martenloom.simulation.network;

import java.util.ArrayList;
import java.util.List;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;

/**
 * Carries records along the directions of connections: in order, with delays, losses and
 * duplicates, and blocked for as long as a partition lasts.
 */
final class RecordTransport {
    private static final long SHORTEST_LATENESS_US = 1_000;

    /** How late a record may arrive that was sent on a connection which is closed by then. */
    private static final long LATEST_ARRIVAL_US = 10_000_000;

    private static final long LONGEST_RELEASE_US = 1_000_000;

    private final EventQueue events;
    private final RandomStream random;
    private final NetworkConditions conditions;
    private final Partitions partitions;
    private final EndpointDirectory endpoints;
    private final List<ConnectionDirection> blockedDirections = new ArrayList<>();

    RecordTransport(
            EventQueue events,
            RandomStream random,
            NetworkConditions conditions,
            Partitions partitions,
            EndpointDirectory endpoints) {
        this.events = events;
        this.random = random;
        this.conditions = conditions;
        this.partitions = partitions;
        this.endpoints = endpoints;
    }

    void transmit(ConnectionDirection direction, byte[] record) {
        if (!direction.connection().isOpen() || conditions.drawLoss()) {
            return;
        }
        schedule(direction, record, conditions.drawDelayUs());
        if (conditions.drawDuplicate()) {
            events.after(
                    random.between(SHORTEST_LATENESS_US, LATEST_ARRIVAL_US / 2),
                    () -> deliverDuplicate(direction, record));
        }
    }

    private void schedule(ConnectionDirection direction, byte[] record, long delayUs) {
        events.at(
                direction.nextArrivalUs(events.nowUs() + delayUs),
                () -> deliver(direction, record));
    }

    private void deliver(ConnectionDirection direction, byte[] record) {
        if (partitions.contains(direction.link()) || !direction.blocked().isEmpty()) {
            block(direction, record);
            return;
        }
        var receiver = direction.receiver();
        if (direction.isReadable() && isRunning(receiver)) {
            receiver.onRecord(direction.connection(), record);
        }
    }

    private boolean isRunning(NetworkEndpoint endpoint) {
        return endpoints
                .running(endpoint.address())
                .filter(running -> running == endpoint)
                .isPresent();
    }

    /**
     * A duplicate, out of order; it may also reach a later run of the receiver, which TCP would not
     * allow.
     */
    private void deliverDuplicate(ConnectionDirection direction, byte[] record) {
        if (!partitions.contains(direction.link())) {
            endpoints
                    .running(direction.receiver().address())
                    .ifPresent(receiver -> receiver.onRecord(direction.connection(), record));
        }
    }

    private void block(ConnectionDirection direction, byte[] record) {
        direction.blocked().add(record);
        if (!blockedDirections.contains(direction)) {
            blockedDirections.add(direction);
        }
    }

    /** What waited for the end of a partition arrives after a while, in its order. */
    void releaseBlocked() {
        var free =
                blockedDirections.stream()
                        .filter(direction -> !partitions.contains(direction.link()))
                        .toList();
        blockedDirections.removeAll(free);
        for (var direction : free) {
            var longestUs =
                    direction.connection().isOpen() ? LONGEST_RELEASE_US : LATEST_ARRIVAL_US;
            var delayUs = random.between(SHORTEST_LATENESS_US, longestUs);
            var waiting = List.copyOf(direction.blocked());
            direction.blocked().clear();
            direction.nextArrivalUs(events.nowUs() + delayUs);
            waiting.forEach(record -> schedule(direction, record, 0));
        }
    }

    /** A closed connection may still deliver a part of what is blocked on it, from the front. */
    void loseBlockedTail(ConnectionDirection direction) {
        var blocked = direction.blocked();
        if (!blocked.isEmpty()) {
            blocked.subList(random.below(blocked.size() + 1), blocked.size()).clear();
        }
    }
}
