package martenloom.core.edge;

import martenloom.common.link.PeerLink;
import martenloom.core.registry.Registry;

/**
 * Brings an edge up to date that is new here, or that asks for it: sends it the complete
 * configuration and all replicas. Runs on the reactor thread.
 */
public final class EdgeSynchronizer {
    private final Registry registry;
    private final EdgeLinks edges;
    private final ConfigurationPublisher configurations;

    /** Sends nothing by itself. */
    public EdgeSynchronizer(
            Registry registry, EdgeLinks edges, ConfigurationPublisher configurations) {
        this.registry = registry;
        this.edges = edges;
        this.configurations = configurations;
    }

    /** An edge has renewed its lease: sends it what it was not sent on this link yet. */
    void onRenewal(String edgeIp, PeerLink link, long nowUs) {
        if (edges.bind(edgeIp, link)) {
            configurations.forget(edgeIp);
            link.send(registry.allReplicas(nowUs));
        }
        if (!configurations.isSentTo(edgeIp)) {
            configurations.sendComplete(edgeIp, link);
        }
    }

    /** An edge asks for everything again. */
    public void onResyncRequest(PeerLink link, long nowUs) {
        configurations.sendComplete(link.attachment() instanceof String edgeIp ? edgeIp : "", link);
        link.send(registry.allReplicas(nowUs));
    }
}
