package martenloom.common.load;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordWriter;

/**
 * The publisher's side of a stream of loads. It remembers what its subscribers were told of each
 * replica, and each update carries the largest differences from that, up to a number that does not
 * depend on the size of the fleet. A difference weighs more the longer it has not been told, so
 * that every one is told in the end. All subscribers get the same updates; one that has missed an
 * update starts again from a snapshot. See {@link LoadSubscription} for the other side.
 *
 * <p>Invariant: a subscriber that has taken the update with the newest number knows exactly the
 * loads that are remembered here. Reads no clock; not thread-safe.
 */
public final class LoadPublication {
    /**
     * How many tokens of pending prefill weigh as much as one request in flight: both then delay
     * the next request by about the same time.
     */
    private static final int TOKENS_PER_REQUEST = 32;

    /** Failures decide about ejections, so they outweigh all but very large differences of load. */
    private static final int TOKENS_PER_FAILURE = 4096;

    /** The requests in flight by model are sent once in so many updates. */
    private static final int UPDATES_BETWEEN_MODELS = 5;

    /** Ids of replicas that have gone are dropped when there are more of them than so many. */
    private static final int MAX_UNUSED_IDS = 1024;

    private static final ReplicaLoadSummary NONE = new ReplicaLoadSummary();

    /** What subscribers were told last of one replica. */
    private static final class Told {
        private final int index;
        private ReplicaLoadSummary load = NONE;
        private long number;

        private Told(int index, long number) {
            this.index = index;
            this.number = number;
        }
    }

    /** A difference between what was told and what is. */
    private record Difference(String replica, ReplicaLoadSummary load, long weight) {}

    private final SecureRandom random = new SecureRandom();
    private final Map<String, Told> toldByReplica = new HashMap<>();
    private final List<String> ids = new ArrayList<>();
    private Map<String, Integer> toldModels = new TreeMap<>();
    private long publication = random.nextLong();
    private long number;
    private int edgeCount;

    /** The next update, towards the current loads. */
    public RecordWriter writeUpdate(LoadSummary current, int maxChanges, RecordWriter out) {
        if (ids.size() - current.replicaLoads().size() > MAX_UNUSED_IDS) {
            restart();
        }
        number++;
        edgeCount = current.edgeCount();
        var firstNewIndex = ids.size();
        var differences = differences(current);
        var changes = new ArrayList<LoadUpdate.Change>();
        for (var difference : largest(differences, maxChanges)) {
            changes.add(tell(difference));
        }
        return new LoadUpdate(
                        publication,
                        number,
                        false,
                        changes.size() == differences.size(),
                        edgeCount,
                        firstNewIndex,
                        List.copyOf(ids.subList(firstNewIndex, ids.size())),
                        changes,
                        changedModels(current))
                .write(out);
    }

    /** What a subscriber has to know before it can take the next update. */
    public RecordWriter writeSnapshot(RecordWriter out) {
        var changes = new ArrayList<LoadUpdate.Change>();
        for (var told : toldByReplica.values()) {
            if (!told.load.isZero()) {
                changes.add(new LoadUpdate.Change(told.index, told.load));
            }
        }
        return new LoadUpdate(
                        publication,
                        number,
                        true,
                        false,
                        edgeCount,
                        0,
                        List.copyOf(ids),
                        changes,
                        Optional.of(toldModels))
                .write(out);
    }

    /** Begins a new publication, which subscribers find out by its number. */
    private void restart() {
        publication = random.nextLong();
        number = 0;
        ids.clear();
        toldByReplica.clear();
    }

    private LoadUpdate.Change tell(Difference difference) {
        var told = toldByReplica.computeIfAbsent(difference.replica, this::withNewIndex);
        told.load = difference.load;
        told.number = number;
        return new LoadUpdate.Change(told.index, told.load);
    }

    private Told withNewIndex(String replica) {
        ids.add(replica);
        return new Told(ids.size() - 1, number);
    }

    private Optional<Map<String, Integer>> changedModels(LoadSummary current) {
        if (number % UPDATES_BETWEEN_MODELS != 0 || current.inFlightByModel().equals(toldModels)) {
            return Optional.empty();
        }
        toldModels = new TreeMap<>(current.inFlightByModel());
        return Optional.of(toldModels);
    }

    private List<Difference> differences(LoadSummary current) {
        var differences = new ArrayList<Difference>();
        current.replicaLoads()
                .forEach((replica, load) -> addDifference(differences, replica, load));
        for (var replica : new HashSet<>(toldByReplica.keySet())) {
            if (!current.replicaLoads().containsKey(replica)) {
                addDifference(differences, replica, NONE);
            }
        }
        return differences;
    }

    private static List<Difference> largest(List<Difference> differences, int maxChanges) {
        if (differences.size() <= maxChanges) {
            return differences;
        }
        differences.sort(Comparator.comparingLong(Difference::weight).reversed());
        return differences.subList(0, maxChanges);
    }

    private void addDifference(
            List<Difference> differences, String replica, ReplicaLoadSummary load) {
        var told = Optional.ofNullable(toldByReplica.get(replica));
        var amount = amount(load, told.map(known -> known.load).orElse(NONE));
        if (amount > 0) {
            var age = number - told.map(known -> known.number).orElse(number - 1);
            differences.add(new Difference(replica, copyOf(load), amount * age));
        }
    }

    private static long amount(ReplicaLoadSummary load, ReplicaLoadSummary told) {
        return Math.abs((long) load.pendingPrefillTokens() - told.pendingPrefillTokens())
                + Math.abs((long) load.inFlight() - told.inFlight()) * TOKENS_PER_REQUEST
                + Math.abs((long) load.failures() - told.failures()) * TOKENS_PER_FAILURE
                + (load.failures() > 0 ? Math.abs(load.successes() - told.successes()) : 0);
    }

    /** What of a load is published: successes count only beside failures. */
    private static ReplicaLoadSummary copyOf(ReplicaLoadSummary load) {
        return ReplicaLoadSummary.of(
                Math.max(0, load.inFlight()),
                Math.max(0, load.pendingPrefillTokens()),
                load.failures() > 0 ? load.successes() : 0,
                load.failures());
    }
}
