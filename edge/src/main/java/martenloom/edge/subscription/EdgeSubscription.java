package martenloom.edge.subscription;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.Predicate;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.RecordType;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.fleet.ReplicaRows;
import martenloom.common.link.PeerLink;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.home.HomeConnection;
import martenloom.edge.lifecycle.Readiness;
import martenloom.edge.replica.ReplicaTable;
import martenloom.edge.replica.WarmupPermits;

/**
 * The subscription of this edge at its home: takes the home's responses to renewals and the
 * replicas, and makes the edge ready once it knows what it needs. When the replicas known here and
 * at the home differ for several responses, the complete state is requested. Runs on the reactor
 * thread.
 */
public final class EdgeSubscription {
    /** Responses in a row that may show a difference, for updates are under way. */
    private static final int MAX_MISMATCHES = 2;

    /** A home that has been up for one and a half heartbeats knows the replicas. */
    private static final long HOME_UP_US_PER_HEARTBEAT_MS = 1500L;

    /** A replica that the home does not know is kept while it was heard within this time. */
    private static final long KEEP_HEARD_US = 10_000_000;

    private final Settings settings;
    private final HomeConnection home;
    private final ReplicaTable replicaTable;
    private final RequestDispatcher dispatcher;
    private final ConfigurationReceiver configuration;
    private final Readiness readiness;
    private int mismatches;
    private int edges;
    private int maxEdges = 1;
    private boolean jobsExist;

    /** Creates a subscription that has had no response. */
    public EdgeSubscription(
            Settings settings,
            HomeConnection home,
            ReplicaTable replicaTable,
            RequestDispatcher dispatcher,
            ConfigurationReceiver configuration,
            Readiness readiness) {
        this.settings = settings;
        this.home = home;
        this.replicaTable = replicaTable;
        this.dispatcher = dispatcher;
        this.configuration = configuration;
        this.readiness = readiness;
    }

    /** How many edges the home knows. */
    public int edges() {
        return edges;
    }

    /** Whether the region has jobs that are not over. */
    public boolean jobsExist() {
        return jobsExist;
    }

    // ---- responses to renewals

    /** Takes the response of the home, or of the candidate, to a renewal. */
    public void onResponse(PeerLink link, RecordReader in) {
        var now = Clocks.nowUs();
        var sentUs = in.i64();
        var homeUpUs = in.i64();
        var staleUs = in.i64();
        if (home.isCandidate(link) && !home.judgeCandidate(staleUs)) {
            return;
        }
        home.onAnswered(link);
        var homeEdition = in.i64();
        var homeDigest = in.i32();
        readEdges(in);
        home.onCores(in.texts(), staleUs);
        dispatcher.onEdgeCount(maxEdges);
        jobsExist = in.flag();
        readPermits(in, sentUs);
        compare(homeEdition, homeDigest);
        home.onAge(staleUs, now);
        if (HomeConnection.isFresh(staleUs) && configuration.edition() > 0) {
            readiness.onConfigured(now);
        }
        becomeReady(now, homeUpUs);
    }

    private void readEdges(RecordReader in) {
        maxEdges = Math.max(maxEdges, in.i32());
        edges = in.i32();
        maxEdges = Math.max(maxEdges, edges);
    }

    private void readPermits(RecordReader in, long sentUs) {
        replicaTable
                .warmupPermits()
                .onLease(
                        home.ip(),
                        sentUs + in.i64(),
                        in.list(item -> new WarmupPermits.Permit(item.text(), item.i32())));
    }

    private void compare(long homeEdition, int homeDigest) {
        var same = homeDigest == replicaTable.digest() && homeEdition <= configuration.edition();
        mismatches = same ? 0 : mismatches + 1;
        if (mismatches > MAX_MISMATCHES) {
            mismatches = 0;
            home.requestState();
        }
    }

    private void becomeReady(long now, long homeUpUs) {
        if (readiness.isReady() || !readiness.isConfigured() || !configuration.isConfigured()) {
            return;
        }
        var complete =
                knowsAllServices()
                        && home.isSynced()
                        && homeUpUs > settings.heartbeatIntervalMs() * HOME_UP_US_PER_HEARTBEAT_MS;
        if (readiness.becomeReadyIf(complete, now)) {
            RingLog.info(
                    "edge "
                            + settings.nodeName()
                            + " ready, revision "
                            + configuration.revision()
                            + ", "
                            + replicaTable.all().size()
                            + " replicas");
            home.renew();
        }
    }

    private boolean knowsAllServices() {
        return dispatcher.table().services().keySet().stream()
                .noneMatch(service -> replicaTable.ofService(service).isEmpty());
    }

    // ---- replicas

    /** Takes replicas of the home: those that changed, or all of them. */
    public void onReplicas(RecordReader in) {
        var now = Clocks.nowUs();
        var all = in.flag();
        var replicas = in.list(item -> ReplicaRecord.read(item, now));
        replicas.forEach(dispatcher::onReplica);
        if (all) {
            home.onSynced();
            var known = new HashSet<String>();
            replicas.forEach(replica -> known.add(replica.id()));
            removeUnknown(known::contains, now);
        }
    }

    /** Takes replicas of the home that have changed, in short rows. */
    public void onChanges(RecordReader in) {
        ReplicaRows.read(in, Clocks.nowUs()).forEach(dispatcher::onReplica);
    }

    /** Takes what the home has answered to the digests of this edge. */
    public void onRanges(RecordReader in) {
        var now = Clocks.nowUs();
        var ranges = new HashSet<>(in.shortList(RecordReader::varint32));
        var replicas = ReplicaRows.read(in, now);
        replicas.forEach(dispatcher::onReplica);
        home.onSynced();
        var known = new HashSet<String>();
        replicas.forEach(replica -> known.add(replica.id()));
        removeUnknown(id -> known.contains(id) || !ranges.contains(DigestRanges.fine(id)), now);
    }

    /** The record by which this edge tells its home what it has. */
    public byte[] syncRequest() {
        var digests = DigestRanges.replicaDigests(replicaTable.registrations());
        return new RecordWriter(RecordType.STATE_SYNC_REQUEST)
                .i64(configuration.edition())
                .shortList(IntArrayList.wrap(digests), RecordWriter::i32)
                .bytes();
    }

    private void removeUnknown(Predicate<String> isKnown, long now) {
        for (var replica : List.copyOf(replicaTable.all())) {
            if (!isKnown.test(replica.id())
                    && now - replica.reachability().heardUs() > KEEP_HEARD_US
                    && replica.attemptCount() == 0) {
                replicaTable.remove(replica);
            }
        }
    }
}
