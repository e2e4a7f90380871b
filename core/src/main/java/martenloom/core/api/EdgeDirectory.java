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
 * client's region has none, edges in regions that the host's routes allow come before all others,
 * since those have to pass on what is bound to its home.
 *
 * <p>The daemon that answers may be cut off from the rest. It answers all the same: what it names
 * has renewed its lease within the last 2.5 s, directly or by way of another daemon, so the answer
 * is never older than that, and once nothing is left it says 503 and the client asks elsewhere. A
 * refusal for staleness alone would take edges from clients that can reach them.
 */
final class EdgeDirectory {
    private EdgeDirectory() {}

    /** The ready edges to name to a client in this zone and region that asks for a host. */
    static List<EdgeRecord> choose(
            List<EdgeRecord> ready, String zone, String region, Set<String> homes) {
        var preferences =
                List.<Predicate<EdgeRecord>>of(
                        e -> e.zone().equals(zone),
                        e -> e.region().equals(region),
                        e -> homes.contains(e.region()));
        for (var preference : preferences) {
            var near = ready.stream().filter(preference).toList();
            if (!near.isEmpty()) {
                return near;
            }
        }
        return ready;
    }

    /**
     * The regions in which each home-bound route of a host may run; those of any such route when
     * they share none.
     */
    static Set<String> homes(RouteTable table, String host) {
        var common = new HashSet<String>();
        var any = new HashSet<String>();
        for (var route : table.routes()) {
            if (!route.host().equals(host.toLowerCase(Locale.ROOT))
                    || route.allowedRegions().isEmpty()) {
                continue;
            }
            if (any.isEmpty()) {
                common.addAll(route.allowedRegions());
            }
            common.retainAll(route.allowedRegions());
            any.addAll(route.allowedRegions());
        }
        return common.isEmpty() ? any : common;
    }
}
