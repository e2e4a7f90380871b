package martenloom.common.fleet;

/** How old what a daemon knows of the core's state may be to count as fresh. */
public final class Staleness {
    /** The bound for core daemons and edges alike, in microseconds. */
    public static final long MAX_STALENESS_US = 1_500_000;

    private Staleness() {}
}
