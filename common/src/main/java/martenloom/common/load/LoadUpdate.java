package martenloom.common.load;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * One step of a {@link LoadPublication}: the loads that it changes, each by the index of its
 * replica. Indexes count up from 0 within one publication; the ids of those that are new stand in
 * the update that uses them first. A snapshot names all ids and every load that is not 0.
 *
 * @param publication a random number that no other publication uses
 * @param number counts the updates of a publication; a snapshot has that of the last update in it
 * @param complete whether every load is now told as it is, none being left for the next update
 * @param edgeCount how many edges are summed up
 * @param firstNewIndex the index of the first of the new ids
 * @param inFlightByModel requests in flight by "region/model", if they are sent with this update
 */
record LoadUpdate(
        long publication,
        long number,
        boolean snapshot,
        boolean complete,
        int edgeCount,
        int firstNewIndex,
        List<String> newIds,
        List<Change> changes,
        Optional<Map<String, Integer>> inFlightByModel) {
    private static final int SNAPSHOT_FLAG = 1;
    private static final int MODELS_FLAG = 2;
    private static final int COMPLETE_FLAG = 4;

    /** The load of one replica, in place of what was published of it before. */
    record Change(int index, ReplicaLoadSummary load) {
        private static final int HEALTH_FLAG = 1;

        void write(RecordWriter out) {
            var failing = load.failures() > 0;
            out.varint(index)
                    .varint((long) load.inFlight() << 1 | (failing ? HEALTH_FLAG : 0))
                    .varint(load.pendingPrefillTokens());
            if (failing) {
                out.varint(load.successes()).varint(load.failures());
            }
        }

        static Change read(RecordReader in) {
            var index = in.varint32();
            var inFlight = in.varint32();
            var tokens = in.varint32();
            var failing = (inFlight & HEALTH_FLAG) != 0;
            return new Change(
                    index,
                    ReplicaLoadSummary.of(
                            inFlight >> 1,
                            tokens,
                            failing ? in.varint32() : 0,
                            failing ? in.varint32() : 0));
        }
    }

    /** Whether every change is of a replica whose index is below a bound. */
    boolean namesIdsBelow(int bound) {
        return changes.stream().allMatch(change -> change.index() < bound);
    }

    /** Whether a snapshot names every replica that it uses. */
    boolean namesAllIds() {
        return firstNewIndex == 0 && namesIdsBelow(newIds.size());
    }

    RecordWriter write(RecordWriter out) {
        out.i64(publication)
                .varint(number)
                .u8(
                        (snapshot ? SNAPSHOT_FLAG : 0)
                                | (complete ? COMPLETE_FLAG : 0)
                                | (inFlightByModel.isPresent() ? MODELS_FLAG : 0))
                .varint(edgeCount)
                .varint(firstNewIndex)
                .shortList(newIds, RecordWriter::shortText)
                .shortList(changes, (writer, change) -> change.write(writer));
        inFlightByModel.ifPresent(
                counts ->
                        out.shortList(
                                counts.entrySet(),
                                (writer, entry) ->
                                        writer.shortText(entry.getKey()).varint(entry.getValue())));
        return out;
    }

    static LoadUpdate read(RecordReader in) {
        var publication = in.i64();
        var number = in.varint();
        var flags = in.u8();
        return new LoadUpdate(
                publication,
                number,
                (flags & SNAPSHOT_FLAG) != 0,
                (flags & COMPLETE_FLAG) != 0,
                in.varint32(),
                in.varint32(),
                in.shortList(RecordReader::shortText),
                in.shortList(Change::read),
                (flags & MODELS_FLAG) == 0 ? Optional.empty() : Optional.of(readModels(in)));
    }

    private static Map<String, Integer> readModels(RecordReader in) {
        var counts = new TreeMap<String, Integer>();
        in.shortList(reader -> counts.put(reader.shortText(), reader.varint32()));
        return counts;
    }
}
