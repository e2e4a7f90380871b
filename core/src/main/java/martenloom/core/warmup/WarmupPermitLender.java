package martenloom.core.warmup;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;
import martenloom.core.configuration.CompiledRoutes;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.registry.Registry;
import martenloom.core.registry.RegistryCheckpoint;
import martenloom.routing.route.RouteTable;

/**
 * Shares out among the edges of this home how often they may send to replicas that are not warm yet
 * when there are more edges than sends: each home lends its share, so that all homes together do
 * not lend more than the replica takes. Runs on the reactor thread.
 */
public final class WarmupPermitLender {
    /**
     * Edges use even shares up to as many edges as sends; homes lend only when there are clearly
     * more, so that no two ways add up.
     */
    private static final int LENT_APART = 4;

    private final Settings settings;
    private final ChainMember chain;
    private final Registry registry;
    private final CompiledRoutes routes;
    private final RegistryCheckpoint memory;
    private final CorePeerLinks peers;
    private final EdgeLinks homes;
    private final WarmupPermits leases;

    public WarmupPermitLender(
            Settings settings,
            ChainMember chain,
            Registry registry,
            CompiledRoutes routes,
            RegistryCheckpoint memory,
            CorePeerLinks peers,
            EdgeLinks homes,
            boolean firstStart) {
        this.settings = settings;
        this.chain = chain;
        this.registry = registry;
        this.routes = routes;
        this.memory = memory;
        this.peers = peers;
        this.homes = homes;
        leases = new WarmupPermits(Clocks.nowUs(), firstStart);
    }

    /**
     * What an edge may send to each of these cold replicas; those of which it gets none left out.
     */
    public Map<String, Integer> lend(EdgeRecord edge, List<String> coldReplicas, long now) {
        var lent = new LinkedHashMap<String, Integer>();
        if (!edge.region().equals(settings.region()) || edge.draining()) {
            return lent;
        }
        var table = routes.of(chain.committed());
        for (var replica : coldReplicas) {
            var sends = lend(edge.ip(), replica, coldPerSecond(replica, table), now);
            if (sends > 0) {
                lent.put(replica, sends);
            }
        }
        return lent;
    }

    private int lend(String edgeIp, String replica, int perSecond, long now) {
        if (memory.mostEdges() <= perSecond + LENT_APART) {
            return 0;
        }
        var share = perSecond / Math.max(memory.mostHomes(), peers.homesInRegion());
        return leases.lend(replica, edgeIp, share, homes.size(), now);
    }

    /** How many sends in a second a cold replica takes from all edges together. */
    private int coldPerSecond(String replica, RouteTable table) {
        return registry.replica(replica)
                .flatMap(row -> Optional.ofNullable(table.services().get(row.service())))
                .map(
                        service ->
                                service.coldRequestsPerS(
                                        settings.bounds().warmupOverage(),
                                        settings.bounds().warmupSlack()))
                .orElse(0);
    }

    public void sweep(long now) {
        leases.removeExpired(now);
    }
}
