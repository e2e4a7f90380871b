package martenloom.core.state;

import java.util.Set;
import java.util.TreeSet;
import martenloom.core.state.Command.EvacuationCommand;
import martenloom.core.state.Command.StartEvacuation;

/**
 * The zones that are evacuated, and how often each was ordered about. Immutable.
 *
 * @param zones the evacuated zones in their order
 * @param versions the version of each zone's orders
 */
public record EvacuationState(Set<String> zones, OrderVersions versions) {
    /** Nothing is evacuated. */
    static final EvacuationState NONE = new EvacuationState(Set.of(), OrderVersions.NONE);

    /**
     * Starts or finishes the evacuation of a zone. An order that finds its wish fulfilled is
     * acknowledged, and counts all the same: a copy of the opposite order that was accepted before
     * and is still on its way must not act afterwards.
     */
    CommandResult<EvacuationState> decide(EvacuationCommand order, long acceptedVersion) {
        var zone = order.zone();
        var start = order instanceof StartEvacuation;
        var fulfilled = zones.contains(zone) == start;
        if (!fulfilled && acceptedVersion != versions.of(zone)) {
            return CommandResult.stale(zone);
        }
        var next = new TreeSet<>(zones);
        if (start) {
            next.add(zone);
        } else {
            next.remove(zone);
        }
        return CommandResult.changed(new EvacuationState(next, versions.next(zone)), "");
    }
}
