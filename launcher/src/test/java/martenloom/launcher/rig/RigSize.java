package martenloom.launcher.rig;

/**
 * What one run of the rig is made of.
 *
 * @param seconds how long the run is measured
 * @param changes configurations that are ordered one after the other once that is over
 * @param paceMs time between the configurations ordered meanwhile; 0 for none
 * @param joins edges that join meanwhile
 */
record RigSize(
        int edges,
        int cores,
        int replicas,
        int zones,
        int regions,
        int models,
        int routes,
        int seconds,
        int changes,
        int paceMs,
        int joins) {
    /** The zone of a daemon or replica; they go round the zones by their number. */
    String zone(int number) {
        return "h" + number % zones;
    }

    String region(int zone) {
        return "g" + zone % regions;
    }
}
