package martenloom.simulation.network;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import martenloom.simulation.cluster.SimulatedMember;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;

/**
 * The connections between members, as TCP gives them: each member dials every other one and sends
 * its records on its own connection, answers go back on the one they came by. Records of one
 * connection keep their order. What is sent into a cut waits for its end; a connection that was
 * silent for too long is closed by the one who dialed it, and what waited on it is lost or still
 * arrives, late, beside what its successor carries.
 */
public final class SimulatedNetwork {
    private static final long SILENCE_US = 2_000_000;
    private static final long REDIAL_US = 200_000;
    private static final long LATEST_US = 10_000_000;

    /** What the network needs to know of the machines. */
    public interface Machines {
        /** The running process of a machine. */
        Optional<SimulatedMember> running(String address);

        /** A member's connection to another one is up. */
        void connected(SimulatedMember dialer, String listener);

        void deliver(SimulatedMember to, Connection by, byte[] record);
    }

    private record Pair(String from, String to) {}

    /**
     * One connection, from the life of the member that dialed it to the life of the one that took
     * it in.
     */
    public final class Connection {
        public final SimulatedMember dialer;
        public final SimulatedMember listener;
        private final Direction forward = new Direction(this, false);
        private final Direction back = new Direction(this, true);
        private boolean open = true;
        private long silentSinceUs = Long.MAX_VALUE;

        private Connection(SimulatedMember dialer, SimulatedMember listener) {
            this.dialer = dialer;
            this.listener = listener;
        }

        /** The other end, as seen from one of the two. */
        public SimulatedMember peerOf(SimulatedMember self) {
            return self.address().equals(dialer.address()) ? listener : dialer;
        }

        /** Sends the other way: from the member that took the connection in. */
        public void answer(byte[] record) {
            transmit(back, record);
        }

        /** Sends the way it was dialed. */
        public void send(byte[] record) {
            transmit(forward, record);
        }
    }

    private static final class Direction {
        private final Connection connection;
        private final boolean toDialer;
        private final List<byte[]> held = new ArrayList<>();
        private long lastArrivalUs;

        private Direction(Connection connection, boolean toDialer) {
            this.connection = connection;
            this.toDialer = toDialer;
        }

        private SimulatedMember receiver() {
            return toDialer ? connection.dialer : connection.listener;
        }

        private Pair pair() {
            var from = connection.dialer.address();
            var to = connection.listener.address();
            return toDialer ? new Pair(to, from) : new Pair(from, to);
        }
    }

    private final EventQueue agenda;
    private final RandomStream random;
    private final Machines machines;
    private final Map<Pair, Connection> connections = new HashMap<>();
    private final Map<Pair, Long> redialUs = new HashMap<>();
    private final Map<Pair, Integer> cuts =
            new TreeMap<>(java.util.Comparator.comparing(Pair::from).thenComparing(Pair::to));
    private final List<Direction> holding = new ArrayList<>();
    private double loss;
    private double duplicates;
    private boolean slow;

    public SimulatedNetwork(EventQueue agenda, RandomStream random, Machines machines) {
        this.agenda = agenda;
        this.random = random;
        this.machines = machines;
    }

    public void setLoss(double probability) {
        loss = probability;
    }

    public void setDuplicates(double probability) {
        duplicates = probability;
    }

    public void setSlow(boolean slow) {
        this.slow = slow;
    }

    public void cut(String from, String to) {
        cuts.merge(new Pair(from, to), 1, Integer::sum);
    }

    public void heal(String from, String to) {
        cuts.computeIfPresent(new Pair(from, to), (p, n) -> n == 1 ? null : Integer.valueOf(n - 1));
        release();
    }

    public void healAll() {
        cuts.clear();
        release();
    }

    private boolean isCut(Pair pair) {
        return cuts.containsKey(pair);
    }

    /** What waited for the end of a cut arrives after a while, in its order. */
    private void release() {
        var free = holding.stream().filter(d -> !isCut(d.pair())).toList();
        holding.removeAll(free);
        for (var direction : free) {
            var pause =
                    direction.connection.open
                            ? random.between(1_000, 1_000_000)
                            : random.between(1_000, LATEST_US);
            var waiting = List.copyOf(direction.held);
            direction.held.clear();
            direction.lastArrivalUs = Math.max(direction.lastArrivalUs, agenda.nowUs() + pause);
            waiting.forEach(r -> schedule(direction, r, 0));
        }
    }

    // ---- connections

    /** Keeps a member's connections up: closes what is silent or ended, dials what is missing. */
    public void maintain(SimulatedMember dialer, Set<String> others) {
        for (var other : others) {
            var pair = new Pair(dialer.address(), other);
            var connection = connections.get(pair);
            if (connection != null && connection.open && connection.dialer == dialer) {
                watch(connection);
            } else if (agenda.nowUs() >= redialUs.getOrDefault(pair, 0L)) {
                dial(dialer, pair);
            }
        }
    }

    private void watch(Connection connection) {
        var peer = machines.running(connection.listener.address());
        var severed = isCut(connection.forward.pair()) || isCut(connection.back.pair());
        var silent = severed || peer.isEmpty() || peer.get().frozen();
        var reset = !severed && peer.isPresent() && peer.get() != connection.listener;
        if (!silent) {
            connection.silentSinceUs = Long.MAX_VALUE;
        } else if (connection.silentSinceUs == Long.MAX_VALUE) {
            connection.silentSinceUs = agenda.nowUs();
        }
        if (reset || silent && agenda.nowUs() - connection.silentSinceUs > SILENCE_US) {
            close(connection);
        }
    }

    private void dial(SimulatedMember dialer, Pair pair) {
        var peer = machines.running(pair.to);
        if (peer.isEmpty() || isCut(pair) || isCut(new Pair(pair.to, pair.from))) {
            redialUs.put(pair, agenda.nowUs() + REDIAL_US);
            return;
        }
        connections.put(pair, new Connection(dialer, peer.get()));
        agenda.after(delayUs(), () -> machines.connected(dialer, pair.to));
    }

    private void close(Connection connection) {
        connection.open = false;
        redialUs.put(connection.forward.pair(), agenda.nowUs() + REDIAL_US);
        loseTail(connection.forward);
        connection.back.held.clear();
        connection.dialer.whenAwake(connection, () -> connection.dialer.onClosed(connection));
    }

    /** A closed connection may still deliver a part of what waits on it. */
    private void loseTail(Direction direction) {
        var held = direction.held;
        if (!held.isEmpty()) {
            held.subList(random.below(held.size() + 1), held.size()).clear();
        }
    }

    /** Resets all connections of a machine, at once; what was under way is lost in part. */
    public void reset(String address) {
        connections.values().stream()
                .filter(
                        c ->
                                c.open
                                        && (c.dialer.address().equals(address)
                                                || c.listener.address().equals(address)))
                .sorted(
                        java.util.Comparator.comparing((Connection c) -> c.dialer.address())
                                .thenComparing(c -> c.listener.address()))
                .forEach(this::close);
    }

    /** The open connection that a member has dialed to another. */
    public Optional<Connection> connection(SimulatedMember from, String to) {
        return Optional.ofNullable(connections.get(new Pair(from.address(), to)))
                .filter(c -> c.open && c.dialer == from);
    }

    // ---- records

    public void send(SimulatedMember from, String to, byte[] record) {
        connection(from, to).ifPresent(c -> c.send(record));
    }

    private void transmit(Direction direction, byte[] record) {
        if (!direction.connection.open || random.chance(loss)) {
            return;
        }
        schedule(direction, record, delayUs());
        if (random.chance(duplicates)) {
            agenda.after(
                    random.between(1_000, LATEST_US / 2), () -> arriveAgain(direction, record));
        }
    }

    private long delayUs() {
        if (slow) {
            return random.between(1_000, 1_500_000);
        }
        return random.oneIn(200) ? random.between(500, 400_000) : random.between(200, 12_000);
    }

    private void schedule(Direction direction, byte[] record, long delayUs) {
        direction.lastArrivalUs = Math.max(direction.lastArrivalUs, agenda.nowUs() + delayUs);
        agenda.at(direction.lastArrivalUs, () -> arrive(direction, record));
    }

    private void arrive(Direction direction, byte[] record) {
        if (isCut(direction.pair()) || !direction.held.isEmpty()) {
            hold(direction, record);
            return;
        }
        var receiver = direction.receiver();
        var gone = direction.toDialer && !direction.connection.open;
        if (!gone && machines.running(receiver.address()).filter(p -> p == receiver).isPresent()) {
            machines.deliver(receiver, direction.connection, record);
        }
    }

    /**
     * A second copy, out of order; it may also reach a later life of the receiver, which TCP would
     * not allow.
     */
    private void arriveAgain(Direction direction, byte[] record) {
        if (!isCut(direction.pair())) {
            machines.running(direction.receiver().address())
                    .ifPresent(p -> machines.deliver(p, direction.connection, record));
        }
    }

    private void hold(Direction direction, byte[] record) {
        direction.held.add(record);
        if (!holding.contains(direction)) {
            holding.add(direction);
        }
    }
}
