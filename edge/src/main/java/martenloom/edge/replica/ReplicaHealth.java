package martenloom.edge.replica;

/**
 * What real answers say of one replica. A replica may fail part of its requests while it says that
 * it is well, for all callers or only for some, so its own word counts for nothing here: answers
 * do, our own and those of the edges of our zone. One that fails too large a part is ejected for a
 * while, comes back with a cost that wears off, and is ejected for twice as long if it fails again,
 * up to a bound. No input or output, no clock.
 */
public final class ReplicaHealth {
    /** Whether a replica is used, ejected, or returning. */
    public enum State {
        FIT,
        ASIDE,
        RETURNING
    }

    public static final long BUCKET_US = 1_500_000;
    public static final long FIRST_US = 2_000_000;
    public static final long MOST_US = 8_000_000;
    public static final long RETURN_US = 2_000_000;
    private static final long MEMORY_US = 20_000_000;
    private static final int LEAST_BAD = 3;
    private static final double BAD_PART = 0.25;
    private static final double COST_US = 40_000;

    private State state = State.FIT;
    private long bucket;
    private int ok;
    private int bad;
    private int okBefore;
    private int badBefore;
    private long ejectedUs;
    private long lastEjectionUs;
    private long untilUs;
    private long deafUntilUs;

    private void roll(long now) {
        var b = now / BUCKET_US;
        if (b != bucket) {
            okBefore = b == bucket + 1 ? ok : 0;
            badBefore = b == bucket + 1 ? bad : 0;
            ok = 0;
            bad = 0;
            bucket = b;
        }
    }

    public void answered(boolean well, long now) {
        roll(now);
        ok += well ? 1 : 0;
        bad += well ? 0 : 1;
    }

    public int ok(long now) {
        roll(now);
        return ok + okBefore;
    }

    public int bad(long now) {
        roll(now);
        return bad + badBefore;
    }

    /** Whether this many good and bad answers of late are reason to put a replica aside. */
    public static boolean unfit(int ok, int bad) {
        return bad >= LEAST_BAD && bad >= BAD_PART * (ok + bad);
    }

    /**
     * Takes evidence; a replica that has just been ejected or come back is not judged by what it
     * did before.
     */
    public boolean judge(int okSeen, int badSeen, long now) {
        tick(now);
        return state != State.ASIDE && now >= deafUntilUs && unfit(okSeen, badSeen);
    }

    public void eject(long now) {
        var again = lastEjectionUs > 0 && now - lastEjectionUs < MEMORY_US;
        ejectedUs = again ? Math.min(MOST_US, ejectedUs * 2) : FIRST_US;
        lastEjectionUs = now;
        become(State.ASIDE, now + ejectedUs);
    }

    private void become(State s, long until) {
        state = s;
        untilUs = until;
        if (s == State.RETURNING) {
            deafUntilUs = until - RETURN_US + 2 * BUCKET_US / 3;
            ok = 0;
            bad = 0;
            okBefore = 0;
            badBefore = 0;
        }
    }

    private void tick(long now) {
        if (state == State.ASIDE && now >= untilUs) {
            become(State.RETURNING, untilUs + RETURN_US);
        }
        if (state == State.RETURNING && now >= untilUs) {
            become(State.FIT, 0);
        }
    }

    public State state(long now) {
        tick(now);
        return state;
    }

    /** What is added to the predicted time while it comes back. */
    public double costUs(long now) {
        return state(now) == State.RETURNING ? COST_US * (untilUs - now) / RETURN_US : 0;
    }
}
