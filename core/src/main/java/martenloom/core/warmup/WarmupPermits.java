package martenloom.core.warmup;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The rate at which one home lets its edges send requests to replicas that are warming up. A home
 * owns an equal share of what each replica may get (divided by the most homes that the region ever
 * had) and lends it to the edges that ask, first come, first served.
 *
 * <p>Invariant: in every window of one second the requests sent under the permits of a replica stay
 * within the home's share, also while edges change their home. For that a permit stays reserved
 * until it must have expired at the edge and one second more, and a home that has just started
 * lends nothing until all permits of its former incarnation have ended. Reads no clock. Runs on the
 * reactor thread.
 */
public final class WarmupPermits {
    /** How long an edge may use a permit, counted from when it asked for it. */
    public static final long PERMIT_US = 1_600_000;

    /** How long a permit counts against the share, counted from when it was lent. */
    public static final long RESERVATION_US = PERMIT_US + 1_200_000;

    private static final class Reservation {
        private int perSecond;
        private long untilUs;
    }

    /** The reservations by replica, then by edge. */
    private final Map<String, Map<String, Reservation>> byReplica = new HashMap<>();

    private final long lendsFromUs;

    /**
     * @param firstStart whether no former incarnation of this daemon can have lent anything
     */
    public WarmupPermits(long nowUs, boolean firstStart) {
        lendsFromUs = firstStart ? nowUs : nowUs + RESERVATION_US;
    }

    /**
     * Lends an edge a part of the share of one replica, or renews what it has.
     *
     * @param share the requests a second that this home owns
     * @param edges the number of edges among which the share is to be divided
     * @return the requests a second that the edge may send; 0 when all are lent
     */
    public int lend(String replica, String edge, int share, int edges, long nowUs) {
        if (nowUs < lendsFromUs || share < 1) {
            return 0;
        }
        var reservations = byReplica.computeIfAbsent(replica, unused -> new HashMap<>());
        removeExpired(reservations.values(), nowUs);
        var own = reservations.computeIfAbsent(edge, unused -> new Reservation());
        var others = 0;
        for (var reservation : reservations.values()) {
            others += reservation == own ? 0 : reservation.perSecond;
        }
        var part = Math.max(1, share / Math.max(1, edges));
        own.perSecond = Math.max(own.perSecond, Math.min(part, share - others));
        own.untilUs = nowUs + RESERVATION_US;
        if (own.perSecond < 1) {
            reservations.remove(edge);
            return 0;
        }
        return own.perSecond;
    }

    /** Forgets the permits that have ended. */
    public void removeExpired(long nowUs) {
        byReplica
                .values()
                .removeIf(
                        reservations -> {
                            removeExpired(reservations.values(), nowUs);
                            return reservations.isEmpty();
                        });
    }

    private static void removeExpired(Collection<Reservation> reservations, long nowUs) {
        reservations.removeIf(reservation -> reservation.untilUs < nowUs);
    }
}
