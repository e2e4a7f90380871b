package martenloom.edge.load;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Optional;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * This edge's own part of the load: samples it for the home when it has changed, and remembers the
 * samples that were sent, so that they can be subtracted from a total that includes them. Runs on
 * the reactor thread.
 */
public final class LoadSampler {
    private static final int MAX_SAMPLES = 32;

    /** An unchanged sample is sent after so many turns all the same. */
    private static final int MAX_UNCHANGED_TURNS = 5;

    private static final long HEARD_LATELY_US = 250_000;

    private final ReplicaTable replicaTable;
    private final RequestDispatcher dispatcher;
    private final String ip;
    private final long incarnation;

    /** The samples that were sent, by their sequence; the oldest are dropped. */
    private final LinkedHashMap<Long, LoadSummary> samples = new LinkedHashMap<>();

    private byte[] lastSample = new byte[0];
    private long sequence;
    private int unchangedTurns;

    /**
     * Creates a sampler that has sent nothing.
     *
     * @param ip the address of this edge
     * @param incarnation a random number that no other run of this edge uses
     */
    public LoadSampler(
            ReplicaTable replicaTable, RequestDispatcher dispatcher, String ip, long incarnation) {
        this.replicaTable = replicaTable;
        this.dispatcher = dispatcher;
        this.ip = ip;
        this.incarnation = incarnation;
    }

    /** The sample that was sent under a number; empty when it is not remembered. */
    LoadSummary sample(long number) {
        return samples.getOrDefault(number, new LoadSummary());
    }

    /** The record with the sample of this turn, if it is to be sent. */
    public Optional<byte[]> sampleRecord(long now) {
        var sample = takeSample(now);
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

    private LoadSummary takeSample(long now) {
        var sample = LoadSummary.ofEdge();
        for (var replica : replicaTable.active()) {
            addReplica(sample, replica, now);
        }
        dispatcher.addRequestsInFlight(sample);
        return sample;
    }

    private void addReplica(LoadSummary sample, ReplicaEndpoint replica, long now) {
        var suspicion = replica.reachability().reportsSuspicion(now);
        var failures = replica.health().failures(now);
        var successes = replica.health().successes(now);
        var inFlight = replica.load().ownInFlight();
        if (inFlight == 0 && !suspicion && failures + successes == 0) {
            replicaTable.setInactive(replica);
            return;
        }
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
