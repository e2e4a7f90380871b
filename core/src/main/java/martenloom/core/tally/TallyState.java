package martenloom.core.tally;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All adds that this daemon holds durably, by the log in which they stand and by their tallies: a
 * grow-only set, whose merge is the union. An add that stands in several logs counts once; if their
 * changes differ, the smallest counts, so that all daemons come to the same total. No add is ever
 * forgotten. Not thread-safe.
 */
final class TallyState {
    /** The heap that an add takes beside the characters of its id. */
    private static final int BYTES_PER_ADD = 240;

    private final Map<Long, List<TallyAdd>> logs = new TreeMap<>();
    private final Map<String, Tally> tallies = new Object2ObjectOpenHashMap<>();
    private final VersionVector held = new VersionVector();
    private long bytes;

    private static final class Tally {
        private final Map<String, CountedAdd> byId = new Object2ObjectOpenHashMap<>();
        private long total;
    }

    private record CountedAdd(AddPosition position, long change) {}

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
                .flatMap(tally -> Optional.ofNullable(tally.byId.get(key.id())))
                .map(CountedAdd::position);
    }

    /**
     * Takes adds that continue a log; those that are held already, or lie behind a gap, are not.
     */
    void append(AddBatch batch) {
        var count = held.held(batch.origin());
        if (batch.first() > count + 1 || batch.last() <= count) {
            return;
        }
        var log = logs.computeIfAbsent(batch.origin(), unused -> new ArrayList<>());
        for (var add : batch.after(count).adds()) {
            log.add(add);
            count(add, new AddPosition(batch.origin(), log.size()));
        }
        held.raise(batch.origin(), log.size());
    }

    private void count(TallyAdd add, AddPosition position) {
        bytes += BYTES_PER_ADD + add.id().length();
        var tally = tallies.computeIfAbsent(add.name(), unused -> new Tally());
        var counted = Optional.ofNullable(tally.byId.get(add.id()));
        var change = Math.min(add.change(), counted.map(CountedAdd::change).orElse(add.change()));
        tally.total += change - counted.map(CountedAdd::change).orElse(0L);
        tally.byId.put(
                add.id(),
                new CountedAdd(counted.map(CountedAdd::position).orElse(position), change));
    }

    /**
     * Adds of a log behind a sequence number that is held here.
     *
     * @param maxCount how many at most
     */
    AddBatch batchAfter(long origin, long sequence, int maxCount) {
        var log = logs.getOrDefault(origin, List.of());
        var to = (int) Math.min(log.size(), sequence + maxCount);
        var from = (int) Math.min(to, Math.max(0, sequence));
        return new AddBatch(origin, from + 1L, List.copyOf(log.subList(from, to)));
    }

    /** Everything, in batches. */
    List<AddBatch> batches(int maxCount) {
        var batches = new ArrayList<AddBatch>();
        for (var origin : logs.keySet()) {
            for (var from = 0L; from < held.held(origin); from += maxCount) {
                batches.add(batchAfter(origin, from, maxCount));
            }
        }
        return batches;
    }
}
