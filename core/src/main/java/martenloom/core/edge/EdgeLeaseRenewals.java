package martenloom.core.edge;

import martenloom.common.codec.RecordReader;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.link.PeerLink;
import martenloom.core.jobs.RegionJobListing;
import martenloom.core.lease.LeaseRelay;
import martenloom.core.registry.Registry;
import martenloom.core.registry.ReplicaUpdatePublisher;

/**
 * Takes the renewals of the edges of this home and answers each with news of the fleet and, for the
 * holder of that duty, the live jobs of its region. An edge that renews on a new link is first sent
 * all replicas and the whole configuration. Runs on the reactor thread.
 */
public final class EdgeLeaseRenewals {
    private final Registry registry;
    private final EdgeLinks homes;
    private final ConfigurationPublisher configurations;
    private final EdgeLeaseResponder news;
    private final RegionJobListing regionJobs;
    private final ReplicaUpdatePublisher replicaNews;
    private final LeaseRelay dutyRelay;

    public EdgeLeaseRenewals(
            Registry registry,
            EdgeLinks homes,
            ConfigurationPublisher configurations,
            EdgeLeaseResponder news,
            RegionJobListing regionJobs,
            ReplicaUpdatePublisher replicaNews,
            LeaseRelay dutyRelay) {
        this.registry = registry;
        this.homes = homes;
        this.configurations = configurations;
        this.news = news;
        this.regionJobs = regionJobs;
        this.replicaNews = replicaNews;
        this.dutyRelay = dutyRelay;
    }

    public void onRenew(PeerLink link, RecordReader in, long now) {
        var edge = EdgeRecord.read(in, now);
        var stamp = in.i64();
        edge.setLastRenewalUs(now - link.transitDelay().excessDelayUs(stamp, now));
        var holder = in.text();
        var wantedDuties = in.texts();
        var coldReplicas = in.texts();
        registry.take(edge, true);
        welcome(edge.ip(), link, now);
        link.send(news.record(edge, stamp, coldReplicas, now));
        regionJobs.recordFor(holder, edge.region(), now).ifPresent(link::send);
        wantedDuties.forEach(duty -> dutyRelay.forwardRequest(duty, holder, stamp, now));
        if (edge.draining()) {
            replicaNews.flood();
        }
    }

    /** Sends an edge what it lacks on this link. */
    private void welcome(String edgeIp, PeerLink link, long now) {
        if (homes.bind(edgeIp, link)) {
            configurations.forget(edgeIp);
            sendReplicas(link, now);
        }
        if (!configurations.sentTo(edgeIp)) {
            configurations.sendWhole(edgeIp, link);
        }
    }

    /** Sends the whole configuration and all replicas again, at the wish of the edge. */
    public void onResync(PeerLink link, long now) {
        configurations.sendWhole(link.attachment() instanceof String edgeIp ? edgeIp : "", link);
        sendReplicas(link, now);
    }

    private void sendReplicas(PeerLink link, long now) {
        link.send(registry.rows(registry.replicas(), true, now));
    }
}
