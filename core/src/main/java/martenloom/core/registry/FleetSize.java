package martenloom.core.registry;

/**
 * The most edges, and the most homes in the own region, that were ever known of: by these, rates
 * are divided among them. Both only rise, and are kept over a restart by the {@link
 * RegistryCheckpoint}. Runs on the reactor thread.
 */
public final class FleetSize {
    private int maxEdges;
    private int maxHomes = 1;

    /** The most edges that any core daemon ever knew of. */
    public int maxEdges() {
        return maxEdges;
    }

    /** The most core daemons that were ever known in the own region; at least this one. */
    public int maxHomes() {
        return maxHomes;
    }

    /** So many edges are known here, or at another core daemon. */
    public void observeEdges(int edges) {
        maxEdges = Math.max(maxEdges, edges);
    }

    /** So many core daemons of the own region are known here. */
    public void observeHomes(int homes) {
        maxHomes = Math.max(maxHomes, homes);
    }
}
