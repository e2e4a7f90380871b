package martenloom.common.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The load of all replicas as edges see it, summed in two steps: an edge reports its own part to
 * its home, a home adds up the parts of its edges and exchanges sums with the other homes, and each
 * edge receives the total. It holds the {@link ReplicaLoadSummary} of each replica, the requests in
 * flight by region and model, and the number of edges that were added up. Not thread-safe.
 */
public final class LoadSummary {
    private static final ReplicaLoadSummary NONE = new ReplicaLoadSummary();

    private final Map<String, ReplicaLoadSummary> loads = new HashMap<>();

    /** Requests in flight by region and model. */
    private final Map<String, Integer> inFlightByModel = new TreeMap<>();

    private int edgeCount;

    /** The part of one edge, which counts itself. */
    public static LoadSummary ofEdge() {
        var part = new LoadSummary();
        part.edgeCount = 1;
        return part;
    }

    /** How many edges are summed up here. */
    public int edgeCount() {
        return edgeCount;
    }

    /** Requests in flight, by "region/model". */
    public Map<String, Integer> inFlightByModel() {
        return inFlightByModel;
    }

    void setEdgeCount(int edgeCount) {
        this.edgeCount = edgeCount;
    }

    void setInFlightByModel(Map<String, Integer> counts) {
        inFlightByModel.clear();
        inFlightByModel.putAll(counts);
    }

    /** The loads by replica, all of them other than 0. */
    public Map<String, ReplicaLoadSummary> replicaLoads() {
        return Collections.unmodifiableMap(loads);
    }

    /** Replaces the load of a replica; one of 0 is dropped. */
    void setReplica(String replica, ReplicaLoadSummary load) {
        if (load.isZero()) {
            loads.remove(replica);
        } else {
            loads.put(replica, load);
        }
    }

    void clearReplicas() {
        loads.clear();
    }

    /** The load of a replica; all 0 when none is known. */
    public ReplicaLoadSummary replicaLoad(String replica) {
        return loads.getOrDefault(replica, NONE);
    }

    /** Adds what this edge has in flight at a replica, and returns the replica's load. */
    public ReplicaLoadSummary addReplica(
            String replica, int inFlight, int pendingPrefillTokens, boolean suspecting) {
        var load = loads.computeIfAbsent(replica, key -> new ReplicaLoadSummary());
        load.addFromEdge(inFlight, pendingPrefillTokens, suspecting);
        return load;
    }

    /** Counts one more request in flight for "region/model". */
    public void addInFlight(String regionAndModel) {
        inFlightByModel.merge(regionAndModel, 1, Integer::sum);
    }

    /** Adds another summary to this one, and returns this. */
    public LoadSummary add(LoadSummary other) {
        return change(other, 1);
    }

    /** Takes off a summary that was added before, and returns this. */
    public LoadSummary subtract(LoadSummary other) {
        return change(other, -1);
    }

    private LoadSummary change(LoadSummary other, int sign) {
        other.loads.forEach(
                (replica, load) -> {
                    var sum = loads.computeIfAbsent(replica, key -> new ReplicaLoadSummary());
                    sum.add(load, sign);
                    if (sum.isZero()) {
                        loads.remove(replica);
                    }
                });
        other.inFlightByModel.forEach(
                (model, count) -> {
                    if (inFlightByModel.merge(model, sign * count, Integer::sum) == 0) {
                        inFlightByModel.remove(model);
                    }
                });
        edgeCount += sign * other.edgeCount;
        return this;
    }

    /**
     * Only the replicas that some edge suspects or that failed some attempts, each without its
     * attempts and tokens.
     */
    public LoadSummary onlySuspected() {
        var suspected = new LoadSummary();
        loads.forEach(
                (replica, load) -> {
                    if (load.isSuspected()) {
                        suspected.addReplica(replica, 0, 0, false).copyHealth(load);
                    }
                });
        return suspected;
    }

    /**
     * Writes who suspects and hears replicas, and their outcomes, of the most suspected replicas at
     * most so many.
     */
    public RecordWriter writeSuspected(RecordWriter out, int maxReplicas) {
        var suspected = new ArrayList<Map.Entry<String, ReplicaLoadSummary>>();
        for (var entry : loads.entrySet()) {
            if (entry.getValue().isSuspected()) {
                suspected.add(entry);
            }
        }
        suspected.sort(Comparator.comparing(entry -> -entry.getValue().suspicionRank()));
        return out.shortList(
                suspected.subList(0, Math.min(maxReplicas, suspected.size())),
                (writer, entry) -> entry.getValue().writeHealth(writer.shortText(entry.getKey())));
    }

    /** Reads what {@link #writeSuspected} wrote. */
    public static LoadSummary readSuspected(RecordReader in) {
        var suspected = new LoadSummary();
        in.shortList(
                reader -> {
                    var load = suspected.addReplica(reader.shortText(), 0, 0, false);
                    load.readHealth(reader);
                    return load;
                });
        return suspected;
    }

    /** Writes the summary and returns the writer. */
    public RecordWriter write(RecordWriter out) {
        out.i32(edgeCount)
                .list(
                        loads.entrySet(),
                        (writer, entry) -> entry.getValue().write(writer.text(entry.getKey())));
        return out.list(
                inFlightByModel.entrySet(),
                (writer, entry) -> writer.text(entry.getKey()).i32(entry.getValue()));
    }

    /** Reads what {@link #write} wrote. */
    public static LoadSummary read(RecordReader in) {
        var summary = new LoadSummary();
        summary.edgeCount = in.i32();
        in.list(
                reader -> {
                    var load =
                            summary.loads.computeIfAbsent(
                                    reader.text(), key -> new ReplicaLoadSummary());
                    load.read(reader);
                    return load;
                });
        in.list(reader -> summary.inFlightByModel.put(reader.text(), reader.i32()));
        return summary;
    }
}
