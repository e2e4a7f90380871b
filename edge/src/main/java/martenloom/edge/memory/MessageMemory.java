package martenloom.edge.memory;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import martenloom.common.callers.MemoryAccount;
import martenloom.common.clock.Clocks;

/**
 * The account of the bytes of requests, or of responses, that this edge holds: one bound for all
 * connections together. Bytes are taken as they come. What is over the bound stays unread in its
 * connection, which TCP's flow control passes on to the sender, and is taken in the order of
 * arrival.
 *
 * <p>A large body leaves free what the bodies before it still need, so that the oldest one can
 * always be read to its end, whatever began behind it. A body of which nothing came for a while
 * loses that privilege: its sender only announced it. Small bodies may use a part of the memory
 * that large ones leave free, and do not wait behind them.
 *
 * <p>Runs on the reactor thread.
 */
public final class MessageMemory {
    /** A body up to this size is small. */
    public static final int SMALL_BYTES = 16 << 10;

    /** The part of the memory that large bodies may take together. */
    private static final double LARGE_SHARE = 0.875;

    /** Nothing is left free any more for a body of which nothing came for so long. */
    static final long STALLED_US = 1_000_000;

    private final MemoryAccount account;
    private final Set<Reservation> inOrderOfArrival = new LinkedHashSet<>();
    private int waitingCount;

    /** An account of so many bytes. */
    public MessageMemory(long capacityBytes) {
        this(new MemoryAccount(capacityBytes));
    }

    /** Messages that count in an account of which others hold a part. */
    public MessageMemory(MemoryAccount account) {
        this.account = account;
        account.addRoomListener(() -> offerRoom(Clocks.nowUs()));
    }

    /** The account in which the messages count. */
    public MemoryAccount account() {
        return account;
    }

    /**
     * Opens the reservation of one body, which holds nothing yet.
     *
     * @param expectedBytes the size of the body as far as it is known
     * @param onRoom called when a reservation that got less than it wanted may ask again
     */
    public Reservation open(long expectedBytes, long nowUs, Runnable onRoom) {
        var reservation = new Reservation(expectedBytes, nowUs, onRoom);
        inOrderOfArrival.add(reservation);
        return reservation;
    }

    /** The bytes that are held, by messages and by others. */
    public long heldBytes() {
        return account.heldBytes();
    }

    /** Whether large bodies find no room. */
    public boolean isFull() {
        return account.heldBytes() >= largeCapacityBytes();
    }

    /**
     * Holds bytes without a reservation: those of responses on their way to their clients.
     *
     * @param change how many more bytes are held; fewer when it is negative
     */
    public void hold(int change, long nowUs) {
        account.count(change);
        if (change < 0) {
            offerRoom(nowUs);
        }
    }

    /** Lets those that wait ask again, if there is room for them now. */
    public void offerRoom(long nowUs) {
        if (waitingCount == 0) {
            return;
        }
        for (var reservation : List.copyOf(inOrderOfArrival)) {
            if (reservation.waiting && mayGoOn(reservation, nowUs)) {
                reservation.onRoom.run();
            }
        }
    }

    private boolean mayGoOn(Reservation asking, long nowUs) {
        return roomFor(asking, nowUs) > 0 || asking.readAhead && asking == oldestUnfinished();
    }

    private Reservation oldestUnfinished() {
        for (var reservation : inOrderOfArrival) {
            if (!reservation.completed) {
                return reservation;
            }
        }
        throw new IllegalStateException("no reservation is unfinished");
    }

    private long largeCapacityBytes() {
        return (long) (account.capacityBytes() * LARGE_SHARE);
    }

    private long roomFor(Reservation asking, long nowUs) {
        if (asking.isSmall()) {
            return account.capacityBytes() - account.heldBytes();
        }
        var room = largeCapacityBytes() - account.heldBytes();
        for (var older : inOrderOfArrival) {
            if (older == asking || room <= 0) {
                break;
            }
            room -= older.neededBytes(nowUs);
        }
        return room;
    }

    /** The bytes of one body. */
    public final class Reservation {
        private final Runnable onRoom;
        private long expectedBytes;
        private long takenBytes;
        private long lastTakenUs;
        private boolean waiting;
        private boolean completed;

        /** Whether its bytes are counted when they were read already. */
        private boolean readAhead;

        private Reservation(long expectedBytes, long nowUs, Runnable onRoom) {
            this.expectedBytes = expectedBytes;
            this.onRoom = onRoom;
            lastTakenUs = nowUs;
        }

        /** Takes as many of the wanted bytes as there is room for, and says how many these are. */
        public int take(int wantedBytes, long nowUs) {
            var granted = (int) Math.max(0, Math.min(wantedBytes, roomFor(this, nowUs)));
            count(granted, nowUs);
            setWaiting(granted < wantedBytes);
            return granted;
        }

        /**
         * Takes bytes that were read already, whether there is room or not, and says whether more
         * may be read now. The oldest body that is unfinished may always be read on, so that no two
         * of unknown length wait for each other.
         */
        public boolean takeRead(int readBytes, long nowUs) {
            readAhead = true;
            count(readBytes, nowUs);
            setWaiting(!mayGoOn(this, nowUs));
            return !waiting;
        }

        private void count(int bytes, long nowUs) {
            takenBytes += bytes;
            account.count(bytes);
            lastTakenUs = bytes > 0 ? nowUs : lastTakenUs;
        }

        private void setWaiting(boolean waits) {
            if (waiting != waits) {
                waiting = waits;
                waitingCount += waits ? 1 : -1;
            }
        }

        /** The body was read to its end; it holds what it has taken. */
        public void complete() {
            expectedBytes = takenBytes;
            completed = true;
            setWaiting(false);
        }

        /** Gives everything back; does nothing the second time. */
        public void close(long nowUs) {
            if (inOrderOfArrival.remove(this)) {
                setWaiting(false);
                account.count(-takenBytes);
                offerRoom(nowUs);
            }
        }

        private boolean isSmall() {
            return Math.max(expectedBytes, takenBytes) <= SMALL_BYTES;
        }

        /** What is left free for it by those that came later. */
        private long neededBytes(long nowUs) {
            var stalled = !waiting && nowUs - lastTakenUs > STALLED_US;
            return stalled ? 0 : Math.max(0, expectedBytes - takenBytes);
        }
    }
}
