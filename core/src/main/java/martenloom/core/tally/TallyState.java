package martenloom.core.tally;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All adds that this daemon holds durably, by the log in which they stand and by their tallies: a
 * grow-only set, whose merge is the union. An add that stands in several logs counts once; if their
 * changes differ, the smallest counts, so that all daemons come to the same total. No add is ever
 * forgotten. Not thread-safe.
 */
final class TallyState {
    /** The heap that an add takes beside the characters of its id. */
    private static final int BYTES_PER_ADD = 120;

    /** No add is packed as this. */
    private static final long NONE = -1;

    /** The logs in the order in which their first adds came, and the index of each origin. */
    private final List<OriginLog> logs = new ArrayList<>();

    private final Map<Long, Integer> logIndex = new HashMap<>();
    private final Map<String, Tally> tallies = new HashMap<>();
    private final VersionVector held = new VersionVector();
    private long bytes;

    private record OriginLog(long origin, List<TallyAdd> adds) {}

    private static final class Tally {
        /** Of each id the add that counts: the index of its log, then its sequence number. */
        private final Object2LongOpenHashMap<String> countedById = new Object2LongOpenHashMap<>();

        private long total;

        Tally() {
            countedById.defaultReturnValue(NONE);
        }
    }

    private static long pack(int log, int sequence) {
        return (long) log << Integer.SIZE | sequence;
    }

    private static int logOf(long packed) {
        return (int) (packed >>> Integer.SIZE);
    }

    private TallyAdd add(long packed) {
        return logs.get(logOf(packed)).adds.get((int) packed - 1);
    }

    /** What is held; changes with the state. */
    VersionVector held() {
        return held;
    }

    /** The heap that the adds take. */
    long bytes() {
        return bytes;
    }

    /** The sum over the adds of a tally; 0 where there is none. */
    long total(String name) {
        return Optional.ofNullable(tallies.get(name)).map(tally -> tally.total).orElse(0L);
    }

    /** Where an add stands that counts here. */
    Optional<AddPosition> position(TallyAddKey key) {
        return Optional.ofNullable(tallies.get(key.name()))
                .map(tally -> tally.countedById.getLong(key.id()))
                .filter(packed -> packed != NONE)
                .map(
                        packed ->
                                new AddPosition(
                                        logs.get(logOf(packed)).origin, (int) (long) packed));
    }

    /**
     * Takes adds that continue a log; those that are held already, or lie behind a gap, are not.
     */
    void append(AddBatch batch) {
        var origin = batch.origin();
        var count = held.held(origin);
        if (batch.first() > count + 1 || batch.last() <= count) {
            return;
        }
        var index = logIndex.computeIfAbsent(origin, this::newLog);
        var log = logs.get(index).adds;
        for (var add : batch.after(count).adds()) {
            log.add(add);
            count(add, pack(index, log.size()));
        }
        held.raise(origin, log.size());
    }

    private int newLog(long origin) {
        logs.add(new OriginLog(origin, new ArrayList<>()));
        return logs.size() - 1;
    }

    private void count(TallyAdd add, long packed) {
        bytes += BYTES_PER_ADD + add.id().length();
        var tally = tallies.computeIfAbsent(add.name(), unused -> new Tally());
        var counted = tally.countedById.getLong(add.id());
        if (counted == NONE) {
            tally.countedById.put(add.id(), packed);
            tally.total += add.change();
        } else if (add.change() < add(counted).change()) {
            tally.countedById.put(add.id(), packed);
            tally.total += add.change() - add(counted).change();
        }
    }

    /**
     * Adds of a log behind a sequence number that is held here.
     *
     * @param maxCount how many at most
     */
    AddBatch batchAfter(long origin, long sequence, int maxCount) {
        var log =
                logIndex.containsKey(origin)
                        ? logs.get(logIndex.get(origin)).adds
                        : List.<TallyAdd>of();
        var to = (int) Math.min(log.size(), sequence + maxCount);
        var from = (int) Math.min(to, Math.max(0, sequence));
        return new AddBatch(origin, from + 1L, List.copyOf(log.subList(from, to)));
    }

    /** Everything, in batches. */
    List<AddBatch> batches(int maxCount) {
        var batches = new ArrayList<AddBatch>();
        for (var log : logs) {
            for (var from = 0L; from < log.adds.size(); from += maxCount) {
                batches.add(batchAfter(log.origin, from, maxCount));
            }
        }
        return batches;
    }
}
