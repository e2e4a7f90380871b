package martenloom.core.tally;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * One add to a tally. However often adds of one name and id are made, one of them counts.
 *
 * @param name of the tally
 * @param id the identity that the caller gave the add
 * @param change what is added; may be negative
 */
record TallyAdd(String name, String id, long change) {
    static TallyAdd read(RecordReader in) {
        return new TallyAdd(in.shortText(), in.shortText(), in.i64());
    }

    void write(RecordWriter out) {
        out.shortText(name).shortText(id).i64(change);
    }

    /** What tells this add from others. */
    TallyAddKey key() {
        return new TallyAddKey(name, id);
    }
}
