package martenloom.edge.load;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * This edge's side of the load totals: writes its own sample for the home when it has changed, and
 * turns a total that comes back into the load of the other edges, by subtracting the sample of ours
 * that the total names. Suspicions are taken from the edges of our zone only: those elsewhere may
 * be partitioned from a replica that is well and in our reach. Runs on the reactor thread.
 */
public final class ClusterLoadView {
    private static final int MAX_SAMPLES = 32;

    /** An unchanged sample is sent after so many turns all the same. */
    private static final int MAX_UNCHANGED_TURNS = 5;

    private static final long HEARD_LATELY_US = 250_000;

    /** The age up to which the total is taken as that of now. */
    private static final long FRESH_US = 1_400_000;

    private final ReplicaTable replicaTable;
    private final RequestDispatcher dispatcher;
    private final String ip;
    private final long incarnation;

    /** The samples that were sent, by their sequence; the oldest are dropped. */
    private final LinkedHashMap<Long, LoadSummary> samples = new LinkedHashMap<>();

    private byte[] lastSample = new byte[0];
    private long sequence;
    private int unchangedTurns;
    private LoadSummary total = new LoadSummary();
    private long totalAtUs;

    /**
     * Creates a view with no total.
     *
     * @param ip the address of this edge
     * @param incarnation a random number that no other run of this edge uses
     */
    public ClusterLoadView(
            ReplicaTable replicaTable, RequestDispatcher dispatcher, String ip, long incarnation) {
        this.replicaTable = replicaTable;
        this.dispatcher = dispatcher;
        this.ip = ip;
        this.incarnation = incarnation;
    }

    /** The total over all edges that came last. */
    public LoadSummary total() {
        return total;
    }

    /** Whether the total is fresh and of most edges, so that low numbers in it can be relied on. */
    public boolean isReliable(int knownEdges, long now) {
        return now - totalAtUs < FRESH_US && total.edgeCount() * 3 >= knownEdges * 2;
    }

    /** The record with the sample of this turn, if it is to be sent. */
    public Optional<byte[]> sampleRecord(long now) {
        var sample = sample(now);
        var bytes = sample.write(new RecordWriter()).bytes();
        if (Arrays.equals(bytes, lastSample)
                && dispatcher.prefixOwners().isAllReported()
                && ++unchangedTurns < MAX_UNCHANGED_TURNS) {
            return Optional.empty();
        }
        unchangedTurns = 0;
        lastSample = bytes;
        samples.put(++sequence, sample);
        if (samples.size() > MAX_SAMPLES) {
            samples.remove(samples.keySet().iterator().next());
        }
        var out =
                sample.write(
                        new RecordWriter(RecordType.LOAD_SAMPLE)
                                .text(ip)
                                .i64(incarnation)
                                .i64(sequence));
        dispatcher.prefixOwners().writeUnreported(out);
        return Optional.of(out.bytes());
    }

    private LoadSummary sample(long now) {
        var sample = LoadSummary.ofEdge();
        for (var replica : replicaTable.all()) {
            addReplica(sample, replica, now);
        }
        dispatcher.addRequestsInFlight(sample);
        return sample;
    }

    private static void addReplica(LoadSummary sample, ReplicaEndpoint replica, long now) {
        var suspicion = replica.reachability().reportsSuspicion(now);
        var failures = replica.health().failures(now);
        var successes = replica.health().successes(now);
        var inFlight = replica.load().ownInFlight();
        if (inFlight > 0 || suspicion || failures + successes > 0) {
            var load =
                    sample.addReplica(
                            replica.id(),
                            inFlight,
                            replica.load().ownPendingPrefillTokens(),
                            suspicion);
            load.setSuccesses(successes);
            load.setFailures(failures);
            var heardLately = now - replica.reachability().heardUs() < HEARD_LATELY_US;
            load.setHearingEdges(!suspicion && heardLately ? 1 : 0);
        }
    }

    /** Takes the total over all edges. */
    public void onTotal(RecordReader in, long now) {
        var own = samples.getOrDefault(in.i64(), new LoadSummary());
        total = LoadSummary.read(in);
        totalAtUs = now;
        dispatcher.prefixOwners().readReported(in);
        var zone = LoadSummary.read(in);
        for (var replica : replicaTable.all()) {
            applyTotal(replica, own, zone, now);
        }
    }

    private void applyTotal(ReplicaEndpoint replica, LoadSummary own, LoadSummary zone, long now) {
        var all = total.replicaLoad(replica.id());
        var ours = own.replicaLoad(replica.id());
        var inZone = zone.replicaLoad(replica.id());
        replica.onPeerTotals(
                all.inFlight() - ours.inFlight(),
                all.pendingPrefillTokens() - ours.pendingPrefillTokens(),
                inZone.suspectingEdges() - ours.suspectingEdges(),
                inZone.hearingEdges() - ours.hearingEdges(),
                now);
        if (all.failures() > 0) {
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
