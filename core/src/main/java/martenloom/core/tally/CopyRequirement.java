package martenloom.core.tally;

import java.util.Collection;
import java.util.function.Function;
import martenloom.common.settings.Settings;

/**
 * How widely an add has to be held before it is acknowledged: if as many machines, zones or regions
 * as are tolerated lose their disks, a copy is left. Where fewer are reached, as in a partition,
 * all that are reached suffice.
 *
 * @param machines whose loss is tolerated
 * @param zones whose loss is tolerated
 * @param regions whose loss is tolerated
 */
record CopyRequirement(int machines, int zones, int regions) {
    static CopyRequirement of(Settings settings) {
        return new CopyRequirement(
                settings.toleratedMachineFailures(),
                settings.toleratedZoneFailures(),
                settings.toleratedRegionFailures());
    }

    /**
     * Whether the copies are enough.
     *
     * @param copies where the add is held durably, this daemon included
     * @param reachable the daemons that could hold it, this one and the holders included
     */
    boolean isMet(Collection<Location> copies, Collection<Location> reachable) {
        return copies.size() >= Math.min(machines + 1, reachable.size())
                && isSpread(zones, Location::zone, copies, reachable)
                && isSpread(regions, Location::region, copies, reachable);
    }

    private static boolean isSpread(
            int tolerated,
            Function<Location, String> domain,
            Collection<Location> copies,
            Collection<Location> reachable) {
        return distinct(copies, domain) >= Math.min(tolerated + 1, distinct(reachable, domain));
    }

    private static long distinct(
            Collection<Location> locations, Function<Location, String> domain) {
        return locations.stream().map(domain).distinct().count();
    }
}
