package martenloom.common.callers;

import io.activej.eventloop.Eventloop;
import io.activej.net.AbstractReactiveServer.AcceptFilter;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import martenloom.common.clock.Clocks;
import martenloom.common.log.RingLog;

/**
 * The connections that callers hold open at one listener or at several, with one bound on their
 * number and one on the memory that they take.
 *
 * <p>A connection is <em>awaited</em> while this process waits for its caller: for a request, for
 * the rest of one, or for a response to be read. It is <em>served</em> while the caller waits for
 * this process. There is room for each new caller: where a bound is reached, an awaited connection
 * gives way, and one that is served never does.
 *
 * <p>Runs on the reactor thread.
 */
public final class Callers {
    /** A connection as it is bounded here. */
    public interface Connection {
        /** The bytes that this process holds for it. */
        long heldBytes();

        /** Whether its caller owes bytes of a request and has sent none for a while. */
        boolean isStalled(long nowUs);

        /** Gives its memory up, if it can with a response to the caller. */
        void refuse();

        /** Closes at once. */
        void close();
    }

    /**
     * The descriptor of a connection that was closed is free only when the reactor has selected
     * again; so many may be open meanwhile beyond the bound.
     */
    private static final int MAX_CLOSING = 32;

    /** A caller that holds no more than this is small. */
    private static final int SMALL_BYTES = 32 << 10;

    /** The part of the memory beyond which only small callers find room. */
    private static final double LARGE_SHARE = 0.875;

    private final int maxConnections;
    private final MemoryAccount memory;
    private final BiConsumer<Long, Runnable> timer;

    /** The connections that are awaited, the one that is awaited for longest first. */
    private final Set<Caller> awaited = new LinkedHashSet<>();

    private int connections;
    private int closing;

    /**
     * @param memory the account in which the callers' memory is counted
     * @param timer runs a task after so many microseconds
     */
    Callers(int maxConnections, MemoryAccount memory, BiConsumer<Long, Runnable> timer) {
        this.maxConnections = maxConnections;
        this.memory = memory;
        this.timer = timer;
    }

    /** The callers of a listener on this reactor. */
    public static Callers at(Eventloop loop, int maxConnections, MemoryAccount memory) {
        return new Callers(
                maxConnections, memory, (delayUs, task) -> Clocks.after(loop, delayUs, task));
    }

    /** The account in which the callers' memory is counted. */
    public MemoryAccount memory() {
        return memory;
    }

    /** How many connections are open. */
    public int size() {
        return connections;
    }

    // ---- connections

    /** Refuses what a listener accepts beyond the bound, if no connection gives way to it. */
    public AcceptFilter acceptFilter() {
        return (channel, localAddress, remoteAddress, ssl) -> !admits();
    }

    private boolean admits() {
        if (connections < maxConnections) {
            return true;
        }
        if (closing >= MAX_CLOSING || awaited.isEmpty()) {
            return false;
        }
        if (closing == 0) {
            timer.accept(1L, () -> closing = 0);
            RingLog.debug("connections are at their bound: the longest awaited give way");
        }
        closing++;
        awaited.iterator().next().connection.close();
        return connections < maxConnections;
    }

    /** Counts a connection that was accepted; it is awaited at first. */
    public Caller open(Connection connection) {
        var caller = new Caller(connection);
        connections++;
        awaited.add(caller);
        return caller;
    }

    // ---- memory

    /** Refuses the callers that owe bytes and have sent none for a while. */
    public void refuseStalled(long nowUs) {
        for (var caller : List.copyOf(awaited)) {
            if (caller.connection.isStalled(nowUs)) {
                caller.connection.refuse();
            }
        }
    }

    /** Refuses awaited callers other than this one until so many bytes find room. */
    public void makeRoom(long bytes, Caller asking) {
        reduceTo(memory.capacityBytes() - bytes, asking);
    }

    private void reduceTo(long boundBytes, Caller asking) {
        while (memory.heldBytes() > boundBytes) {
            var victim = holdingMuch(caller -> caller != asking);
            if (victim.isEmpty()) {
                return;
            }
            var heldBefore = memory.heldBytes();
            victim.get().connection.refuse();
            if (memory.heldBytes() >= heldBefore) {
                victim.get().connection.close();
            }
        }
    }

    /** Callers that hold much leave a part to those that hold little. */
    private long boundOf(long bytes) {
        return bytes <= SMALL_BYTES
                ? memory.capacityBytes()
                : (long) (memory.capacityBytes() * LARGE_SHARE);
    }

    /**
     * The caller that is awaited for longest of those that hold much: half of the average at least.
     */
    private Optional<Caller> holdingMuch(Predicate<Caller> eligible) {
        var candidates = new ArrayList<Caller>();
        var totalBytes = 0L;
        for (var caller : awaited) {
            if (eligible.test(caller)) {
                candidates.add(caller);
                totalBytes += caller.connection.heldBytes();
            }
        }
        for (var caller : candidates) {
            if (caller.connection.heldBytes() * 2 * candidates.size() >= totalBytes) {
                return Optional.of(caller);
            }
        }
        return Optional.empty();
    }

    /** One connection, from its opening to its end. */
    public final class Caller {
        private final Connection connection;
        private long countedBytes;
        private boolean open = true;

        private Caller(Connection connection) {
            this.connection = connection;
        }

        /** From now on the connection is awaited, and was not before. */
        public void await() {
            if (open) {
                awaited.remove(this);
                awaited.add(this);
            }
        }

        /** From now on the connection is served. */
        public void serve() {
            awaited.remove(this);
        }

        /**
         * Counts what is held for the connection apart from what others count, and makes room for
         * it.
         *
         * @return whether it is within the bound; if not, the caller is to be refused
         */
        public boolean hold(long bytes) {
            if (!open) {
                return false;
            }
            var change = bytes - countedBytes;
            countedBytes = bytes;
            memory.hold(change);
            var boundBytes = boundOf(bytes);
            if (change > 0 && memory.heldBytes() > boundBytes) {
                reduceTo(boundBytes, this);
                return memory.heldBytes() <= boundBytes;
            }
            return true;
        }

        /** The connection has ended; does nothing the second time. */
        public void close() {
            if (open) {
                open = false;
                connections--;
                awaited.remove(this);
                var released = countedBytes;
                countedBytes = 0;
                memory.hold(-released);
            }
        }
    }
}
