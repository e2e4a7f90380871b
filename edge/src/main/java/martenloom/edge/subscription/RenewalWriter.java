package martenloom.edge.subscription;

import java.util.Collection;
import java.util.List;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;
import martenloom.common.settings.Settings;
import martenloom.edge.lease.RoleLeases;
import martenloom.edge.lifecycle.Readiness;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.RoutingView;

/**
 * Writes the records by which this edge subscribes at a home and renews its subscription: what the
 * directory says of it, the roles that it requests, and the replicas for which it needs permits
 * while they warm up. Runs on the reactor thread.
 */
public final class RenewalWriter {
    private final Settings settings;
    private final RoutingView routing;
    private final ReplicaTable replicaTable;
    private final Readiness readiness;
    private final RoleLeases roles;
    private final long incarnation;
    private long sequence;

    /**
     * Creates the writer.
     *
     * @param incarnation a random number that no other run of this edge uses
     */
    public RenewalWriter(
            Settings settings,
            RoutingView routing,
            ReplicaTable replicaTable,
            Readiness readiness,
            RoleLeases roles,
            long incarnation) {
        this.settings = settings;
        this.routing = routing;
        this.replicaTable = replicaTable;
        this.readiness = readiness;
        this.roles = roles;
        this.incarnation = incarnation;
    }

    /**
     * Writes the next record.
     *
     * @param revision the revision of the configuration in force here
     * @param jobsExist whether there are jobs to run or running
     */
    public byte[] write(long revision, boolean jobsExist) {
        var now = Clocks.nowUs();
        var edge = new EdgeRecord();
        edge.setIp(settings.ipAddress());
        edge.setName(settings.nodeName());
        edge.setZone(settings.zone());
        edge.setRegion(settings.region());
        edge.setFrontendAddress(settings.requiredListenAddress("Frontend"));
        edge.setReady(readiness.isReady());
        edge.setDraining(readiness.isDraining());
        edge.setIncarnation(incarnation);
        edge.setSequence(++sequence);
        edge.setConfigurationRevision(revision);
        edge.setLastRenewalUs(now);
        var out = new RecordWriter(RecordType.EDGE_LEASE_RENEWAL);
        edge.write(out, now);
        return out.i64(now)
                .text(roles.holder())
                .texts(requestedRoles(jobsExist))
                .texts(replicaTable.warmingUp(settings.region(), routing.table(), now))
                .bytes();
    }

    private Collection<String> requestedRoles(boolean jobsExist) {
        return readiness.isServing() ? roles.wanted(jobsExist) : List.of();
    }
}
