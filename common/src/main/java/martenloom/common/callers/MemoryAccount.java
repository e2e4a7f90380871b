package martenloom.common.callers;

import java.util.ArrayList;
import java.util.List;

/**
 * The bytes that callers make this process hold, as counted by those that hold them, and their
 * bound. Counting never fails: whoever counts keeps to the bound by {@link Callers}, or by holding
 * less. Runs on the reactor thread.
 */
public final class MemoryAccount {
    private final long capacityBytes;
    private final List<Runnable> roomListeners = new ArrayList<>();
    private long heldBytes;

    /** An account of so many bytes. */
    public MemoryAccount(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    public long capacityBytes() {
        return capacityBytes;
    }

    public long heldBytes() {
        return heldBytes;
    }

    /** Whether more is held than the bound allows. */
    public boolean isExceeded() {
        return heldBytes > capacityBytes;
    }

    /**
     * Counts a change, without a word to those that wait for room.
     *
     * @param change how many more bytes are held; fewer when it is negative
     */
    public void count(long change) {
        heldBytes += change;
    }

    /**
     * Counts a change.
     *
     * @param change how many more bytes are held; fewer when it is negative
     */
    public void hold(long change) {
        count(change);
        if (change < 0) {
            roomListeners.forEach(Runnable::run);
        }
    }

    /** The listener is called whenever fewer bytes are held than before. */
    public void addRoomListener(Runnable listener) {
        roomListeners.add(listener);
    }
}
