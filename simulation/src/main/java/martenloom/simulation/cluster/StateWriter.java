package martenloom.simulation.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongConsumer;
import martenloom.common.error.MartenloomException;
import martenloom.core.chain.ChainEffect;
import martenloom.core.driver.MemberStateStore;
import martenloom.simulation.disk.ProcessEndedException;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;

/**
 * The storage thread of a member: writes one state after the other, as fast as the machine's disk
 * allows, and tries again for as long as the disk refuses. The disk works on while the process is
 * frozen.
 */
final class StateWriter {
    private static final long RETRY_US = 100_000;

    /** More steps of the disk than one write has, so that some writes finish at the end. */
    private static final int MOST_STEPS_AT_END = 24;

    private final SimulatedMachine machine;
    private final EventQueue events;
    private final MemberStateStore store;
    private final LongConsumer onPersisted;
    private final Deque<ChainEffect.PersistState> queue = new ArrayDeque<>();
    private boolean ended;

    /**
     * @param onPersisted is called with the token of each state that was written
     */
    StateWriter(
            SimulatedMachine machine,
            EventQueue events,
            MemberStateStore store,
            LongConsumer onPersisted) {
        this.machine = machine;
        this.events = events;
        this.store = store;
        this.onPersisted = onPersisted;
    }

    void enqueue(ChainEffect.PersistState write) {
        queue.add(write);
        if (queue.size() == 1) {
            beginWrite();
        }
    }

    private void beginWrite() {
        events.after(machine.drawSyncUs(), this::finishWrite);
    }

    private void finishWrite() {
        if (ended) {
            return;
        }
        if (machine.diskStalledUntilUs() > events.nowUs()) {
            events.at(machine.diskStalledUntilUs(), this::finishWrite);
            return;
        }
        var write = queue.peek();
        try {
            store.write(write.memberState());
        } catch (MartenloomException refused) {
            events.after(RETRY_US, this::finishWrite);
            return;
        }
        queue.poll();
        if (!queue.isEmpty()) {
            beginWrite();
        }
        onPersisted.accept(write.token());
    }

    /** The process ends; a write in progress ends between any two of its steps. */
    void end(RandomStream random) {
        ended = true;
        if (queue.isEmpty()) {
            return;
        }
        machine.disk().endProcessAfter(random.below(MOST_STEPS_AT_END));
        try {
            store.write(queue.peek().memberState());
        } catch (ProcessEndedException | MartenloomException unfinished) {
            // This is the fault to be injected: the write stays as incomplete as it is.
        }
    }
}
