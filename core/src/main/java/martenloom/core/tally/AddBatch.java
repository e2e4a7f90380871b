package martenloom.core.tally;

import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * Adds that follow each other in the log of one origin.
 *
 * @param first the sequence number of the first add
 */
record AddBatch(long origin, long first, List<TallyAdd> adds) {
    static AddBatch read(RecordReader in) {
        return new AddBatch(in.i64(), in.varint(), in.shortList(TallyAdd::read));
    }

    void write(RecordWriter out) {
        out.i64(origin).varint(first).shortList(adds, (writer, add) -> add.write(writer));
    }

    /** The sequence number of the last add. */
    long last() {
        return first + adds.size() - 1;
    }

    /** The adds behind a sequence number that is not before the batch; none if it is behind it. */
    AddBatch after(long sequence) {
        if (sequence < first) {
            return this;
        }
        var from = (int) Math.min(adds.size(), sequence + 1 - first);
        return new AddBatch(origin, sequence + 1, adds.subList(from, adds.size()));
    }
}
