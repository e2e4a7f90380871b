package martenloom.core.api;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import martenloom.common.fleet.EdgeRecord;
import martenloom.routing.route.RouteTable;

/**
 * Which edges a lookup names: the nearest that are ready, by zone, then by region. Where the
 * client's region has none, edges in regions that the routes of the host allow come before all
 * others, since those would have to pass the requests on.
 *
 * <p>The daemon that answers may be cut off from the others. It answers all the same: what it names
 * has renewed its lease within the last 2.5 s, directly or by way of another daemon, so the answer
 * is never older than that, and once nothing is left it answers 503 and the client asks elsewhere.
 * A refusal for staleness alone would take edges from clients that can reach them.
 */
final class EdgeDirectory {
    private EdgeDirectory() {}

    /** The ready edges to name to a client in this zone and region that asks for a host. */
    static List<EdgeRecord> choose(
            List<EdgeRecord> ready, String zone, String region, Set<String> homeRegions) {
        var preferences =
                List.<Predicate<EdgeRecord>>of(
                        edge -> edge.zone().equals(zone),
                        edge -> edge.region().equals(region),
                        edge -> homeRegions.contains(edge.region()));
        for (var preference : preferences) {
            var near = ready.stream().filter(preference).toList();
            if (!near.isEmpty()) {
                return near;
            }
        }
        return ready;
    }

    /**
     * The regions in which every region-bound route of a host may run; those of any such route when
     * they share none.
     */
    static Set<String> homeRegions(RouteTable table, String host) {
        var common = new HashSet<String>();
        var any = new HashSet<String>();
        for (var route : table.routes()) {
            var regions = route.allowedRegions();
            if (!route.host().equals(host.toLowerCase(Locale.ROOT)) || regions.isEmpty()) {
                continue;
            }
            if (any.isEmpty()) {
                common.addAll(regions);
            }
            common.retainAll(regions);
            any.addAll(regions);
        }
        return common.isEmpty() ? any : common;
    }
}
