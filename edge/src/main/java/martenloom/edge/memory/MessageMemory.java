package martenloom.edge.memory;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The account of the bytes of requests that this edge holds: one bound for all connections
 * together. Bytes are taken as they come. What is over the bound stays unread in its connection,
 * which TCP's flow control passes on to the sender, and is taken in the order of arrival.
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
    static final int SMALL_BYTES = 16 << 10;

    /** The part of the memory that large bodies may take together. */
    private static final double LARGE_SHARE = 0.875;

    /** Nothing is left free any more for a body of which nothing came for so long. */
    static final long STALLED_US = 1_000_000;

    private final long capacityBytes;
    private final Set<Reservation> inOrderOfArrival = new LinkedHashSet<>();
    private long heldBytes;

    /** An account of so many bytes. */
    public MessageMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
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

    /** The bytes that are held by all reservations. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Lets those that wait ask again, if there is room for them now. */
    public void offerRoom(long nowUs) {
        for (var reservation : List.copyOf(inOrderOfArrival)) {
            if (reservation.waiting && roomFor(reservation, nowUs) > 0) {
                reservation.onRoom.run();
            }
        }
    }

    private long roomFor(Reservation asking, long nowUs) {
        if (asking.isSmall()) {
            return capacityBytes - heldBytes;
        }
        var room = (long) (capacityBytes * LARGE_SHARE) - heldBytes;
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

        private Reservation(long expectedBytes, long nowUs, Runnable onRoom) {
            this.expectedBytes = expectedBytes;
            this.onRoom = onRoom;
            lastTakenUs = nowUs;
        }

        /** Takes as many of the wanted bytes as there is room for, and says how many these are. */
        public int take(int wantedBytes, long nowUs) {
            var granted = (int) Math.max(0, Math.min(wantedBytes, roomFor(this, nowUs)));
            waiting = granted < wantedBytes;
            takenBytes += granted;
            heldBytes += granted;
            lastTakenUs = granted > 0 ? nowUs : lastTakenUs;
            return granted;
        }

        /** The body was read to its end; it holds what it has taken. */
        public void complete() {
            expectedBytes = takenBytes;
        }

        /** Gives everything back; does nothing the second time. */
        public void close(long nowUs) {
            if (inOrderOfArrival.remove(this)) {
                heldBytes -= takenBytes;
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
