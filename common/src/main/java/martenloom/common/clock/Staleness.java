package martenloom.common.clock;

/**
 * When knowledge of the replicated state counts as stale: its age is the time since the newest
 * moment at which a majority of the core is known to have held together.
 */
public final class Staleness {
    /**
     * A member older than this neither hands out what it knows as current nor forwards requests,
     * and an edge looks for another home. docs/control-safety.md derives it from the heartbeats.
     */
    public static final long MAX_STALENESS_US = 1_500_000;

    private Staleness() {}
}
