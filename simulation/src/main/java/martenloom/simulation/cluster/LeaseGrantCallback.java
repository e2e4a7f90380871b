package martenloom.simulation.cluster;

/** Is called when a grant reaches the home of a candidate. */
@FunctionalInterface
public interface LeaseGrantCallback {
    /**
     * Takes a grant.
     *
     * @param fencingToken the fencing token of the grant
     * @param requestedAtUs the time that the granted request carried
     */
    void onGranted(long fencingToken, long requestedAtUs);
}
