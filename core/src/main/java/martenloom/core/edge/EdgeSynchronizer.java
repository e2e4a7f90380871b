package martenloom.core.edge;

import java.util.HashMap;
import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.link.PeerLink;
import martenloom.core.registry.Registry;

/**
 * Brings an edge up to date that is new here, or that asks for it. An edge tells what it has and is
 * sent what it lacks; one of the first version is sent the complete configuration and all replicas.
 * Runs on the reactor thread.
 */
public final class EdgeSynchronizer {
    private final Registry registry;
    private final EdgeLinks edges;
    private final ConfigurationPublisher configurations;
    private final RegionCores regionCores;

    /** The edition that each edge had when it last told what it has, on its current link. */
    private final Map<String, Long> toldEditions = new HashMap<>();

    /** Sends nothing by itself. */
    public EdgeSynchronizer(
            Registry registry,
            EdgeLinks edges,
            ConfigurationPublisher configurations,
            RegionCores regionCores) {
        this.registry = registry;
        this.edges = edges;
        this.configurations = configurations;
        this.regionCores = regionCores;
    }

    /** An edge has renewed its lease: sends it what it was not sent on this link yet. */
    void onRenewal(EdgeRecord edge, PeerLink link, long nowUs) {
        var edgeIp = edge.ip();
        var isNew = edges.bind(edgeIp, link);
        if (isNew) {
            configurations.forget(edgeIp);
            toldEditions.remove(edgeIp);
        }
        if (link.readsShortForms()) {
            regionCores.tell(link, edge.region());
            sendConfigurationIfAsked(edgeIp, link);
            return;
        }
        if (isNew) {
            link.send(registry.allReplicas(nowUs));
        }
        if (!configurations.isSentTo(edgeIp)) {
            configurations.sendComplete(edgeIp, link);
        }
    }

    /** What could not be sent when the edge asked, because this daemon was not fresh. */
    private void sendConfigurationIfAsked(String edgeIp, PeerLink link) {
        if (!configurations.isSentTo(edgeIp) && toldEditions.containsKey(edgeIp)) {
            configurations.sendIfNewer(edgeIp, link, toldEditions.get(edgeIp));
        }
    }

    /** An edge of this home tells what it has. */
    public void onSyncRequest(PeerLink link, RecordReader in, long nowUs) {
        var edition = in.i64();
        var digests = in.shortList(RecordReader::i32);
        edges.edgeOf(link)
                .ifPresent(
                        edgeIp -> {
                            toldEditions.put(edgeIp, edition);
                            configurations.sendIfNewer(edgeIp, link, edition);
                        });
        link.send(registry.replicasMissing(digests, nowUs));
    }

    /** An edge asks for everything again. */
    public void onResyncRequest(PeerLink link, long nowUs) {
        configurations.sendComplete(link.attachment() instanceof String edgeIp ? edgeIp : "", link);
        link.send(registry.allReplicas(nowUs));
    }
}
