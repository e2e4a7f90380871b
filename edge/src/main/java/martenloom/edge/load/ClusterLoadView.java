package martenloom.edge.load;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSubscription;
import martenloom.common.load.LoadSummary;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * What this edge is told of the load of the whole fleet. The home sends it as a stream of changes
 * (see {@link martenloom.common.load.LoadPublication}), or whole where it is of the first version.
 * A load that is told includes the sample of this edge that the record names, which is subtracted.
 * Suspicions are taken from the edges of our zone only: those elsewhere may be partitioned from a
 * replica that is well and in our reach. Runs on the reactor thread.
 */
public final class ClusterLoadView {
    /** The age up to which the total is taken as that of now. */
    private static final long FRESH_US = 1_400_000;

    /** The stream is asked for again when no snapshot has come for so long. */
    private static final long ASK_AGAIN_US = 500_000;

    /** The total is relied on when it is of two thirds of the edges. */
    private static final int QUORUM = 2;

    private static final int QUORUM_OF = 3;

    private final ReplicaTable replicaTable;
    private final PrefixOwners prefixOwners;
    private final LoadSampler sampler;
    private final Consumer<byte[]> toHome;
    private final LoadSubscription subscription = new LoadSubscription();

    /** The replicas of the last record that some edge of our zone suspects. */
    private Set<String> suspectedInZone = new HashSet<>();

    /** Replicas whose attempts fail somewhere, by what was told last. */
    private final Set<String> failing = new HashSet<>();

    /** Replicas whose load was told before their registration came. */
    private final Set<String> unregistered = new HashSet<>();

    /** The sample of this edge that the last update named. */
    private LoadSummary ownBefore = new LoadSummary();

    private LoadSummary total = new LoadSummary();
    private long totalAtUs;
    private long askedUs = -ASK_AGAIN_US;

    /**
     * Creates a view with no total.
     *
     * @param sampler knows the samples of this edge
     * @param toHome sends a record to the home
     */
    public ClusterLoadView(
            ReplicaTable replicaTable,
            RequestDispatcher dispatcher,
            LoadSampler sampler,
            Consumer<byte[]> toHome) {
        this.replicaTable = replicaTable;
        this.sampler = sampler;
        this.toHome = toHome;
        prefixOwners = dispatcher.prefixOwners();
    }

    /** The total over all edges as it is known. */
    public LoadSummary total() {
        return total;
    }

    /** Whether the total is fresh and of most edges, so that low numbers in it can be relied on. */
    public boolean isReliable(int knownEdges, long now) {
        return now - totalAtUs < FRESH_US && total.edgeCount() * QUORUM_OF >= knownEdges * QUORUM;
    }

    /** Takes an update of the home's stream; asks for a snapshot when it does not follow. */
    public void onUpdate(RecordReader in, long now) {
        var own = sampler.sample(in.varint());
        var begins = !subscription.isInSync();
        var changed = new HashSet<String>();
        if (subscription.take(in, changed) == LoadSubscription.Outcome.MISSED_SOME) {
            requestStream(now);
            return;
        }
        onReceived(subscription.loads(), now);
        in.shortList(
                location -> {
                    prefixOwners.onReported(location.shortText(), location.shortText(), now);
                    return 0;
                });
        var zone = LoadSummary.readSuspected(in);
        if (begins) {
            replicaTable.all().forEach(replica -> applyLoad(replica, own));
        }
        if (subscription.isComplete()) {
            // What was not told again is as it was, but our own part of it may have changed.
            changed.addAll(own.replicaLoads().keySet());
            changed.addAll(ownBefore.replicaLoads().keySet());
        }
        ownBefore = own;
        changed.addAll(unregistered);
        unregistered.clear();
        changed.forEach(id -> applyChange(id, own));
        applySuspicions(zone, own, now);
    }

    /** Takes the total over all edges from a home of the first version. */
    public void onTotal(RecordReader in, long now) {
        requestStream(now);
        var own = sampler.sample(in.i64());
        onReceived(LoadSummary.read(in), now);
        in.list(
                location -> {
                    prefixOwners.onReported(location.text(), location.text(), now);
                    return 0;
                });
        var zone = LoadSummary.read(in);
        replicaTable.all().forEach(replica -> applyLoad(replica, own));
        failing.clear();
        total.replicaLoads().keySet().forEach(this::noteFailures);
        applySuspicions(zone, own, now);
    }

    private void requestStream(long now) {
        if (now - askedUs >= ASK_AGAIN_US) {
            askedUs = now;
            toHome.accept(new RecordWriter(RecordType.LOAD_SUBSCRIPTION).bytes());
        }
    }

    private void onReceived(LoadSummary received, long now) {
        total = received;
        totalAtUs = now;
        replicaTable.peerTotalsAge().onReceived(now);
    }

    // ---- load

    private void applyChange(String id, LoadSummary own) {
        noteFailures(id);
        var replica = replicaTable.find(id);
        if (replica.isPresent()) {
            applyLoad(replica.get(), own);
        } else if (total.replicaLoad(id).inFlight() > 0) {
            unregistered.add(id);
        }
    }

    private void noteFailures(String id) {
        if (total.replicaLoad(id).failures() > 0) {
            failing.add(id);
        } else {
            failing.remove(id);
        }
    }

    private void applyLoad(ReplicaEndpoint replica, LoadSummary own) {
        var all = total.replicaLoad(replica.id());
        var ours = own.replicaLoad(replica.id());
        replica.onPeerLoad(
                all.inFlight() - ours.inFlight(),
                all.pendingPrefillTokens() - ours.pendingPrefillTokens());
    }

    // ---- health

    private void applySuspicions(LoadSummary zone, LoadSummary own, long now) {
        var concerned = new HashSet<>(suspectedInZone);
        suspectedInZone = new HashSet<>(zone.replicaLoads().keySet());
        concerned.addAll(suspectedInZone);
        concerned.addAll(failing);
        for (var id : concerned) {
            replicaTable.find(id).ifPresent(replica -> applySuspicions(replica, zone, own, now));
        }
    }

    private void applySuspicions(
            ReplicaEndpoint replica, LoadSummary zone, LoadSummary own, long now) {
        var all = total.replicaLoad(replica.id());
        var ours = own.replicaLoad(replica.id());
        var inZone = zone.replicaLoad(replica.id());
        replica.onPeerSuspicions(
                inZone.suspectingEdges() - ours.suspectingEdges(),
                inZone.hearingEdges() - ours.hearingEdges());
        if (all.failures() > 0 || inZone.failures() > 0) {
            replicaTable.ejectIfOutlier(
                    replica,
                    all.successes(),
                    all.failures(),
                    inZone.successes(),
                    inZone.failures(),
                    now);
        }
    }
}
