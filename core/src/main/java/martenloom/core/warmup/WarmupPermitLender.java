package martenloom.core.warmup;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.settings.Settings;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.PeerRegions;
import martenloom.core.registry.FleetSize;

/**
 * Divides the rates of replicas that are warming up among the edges of this home, when there are
 * more edges than requests to divide: each home lends its equal share, so that all homes together
 * do not lend more than a replica takes. Runs on the reactor thread.
 */
public final class WarmupPermitLender {
    /**
     * Edges use equal shares up to as many edges as requests; homes lend only when there are
     * clearly more, so that the two ways never add up.
     */
    private static final int EDGES_APART = 4;

    private final Settings settings;
    private final WarmupRates rates;
    private final FleetSize fleetSize;
    private final PeerRegions regions;
    private final EdgeLinks edges;
    private final WarmupPermits permits;

    /**
     * @param permits what this home has lent
     */
    public WarmupPermitLender(
            Settings settings,
            WarmupRates rates,
            FleetSize fleetSize,
            PeerRegions regions,
            EdgeLinks edges,
            WarmupPermits permits) {
        this.settings = settings;
        this.rates = rates;
        this.fleetSize = fleetSize;
        this.regions = regions;
        this.edges = edges;
        this.permits = permits;
    }

    /**
     * Lends an edge permits for replicas that are warming up.
     *
     * @return the requests a second by replica; those for which it gets none are left out
     */
    public Map<String, Integer> lend(EdgeRecord edge, List<String> replicas, long nowUs) {
        var lent = new LinkedHashMap<String, Integer>();
        if (!edge.region().equals(settings.region()) || edge.draining()) {
            return lent;
        }
        var table = rates.routeTable();
        for (var replica : replicas) {
            var perSecond = lend(edge.ip(), replica, rates.perSecond(replica, table), nowUs);
            if (perSecond > 0) {
                lent.put(replica, perSecond);
            }
        }
        return lent;
    }

    private int lend(String edgeIp, String replica, int perSecond, long nowUs) {
        if (fleetSize.maxEdges() <= perSecond + EDGES_APART) {
            return 0;
        }
        var share = perSecond / Math.max(fleetSize.maxHomes(), regions.homesInOwnRegion());
        return permits.lend(replica, edgeIp, share, edges.size(), nowUs);
    }
}
