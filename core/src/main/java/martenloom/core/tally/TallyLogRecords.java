package martenloom.core.tally;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.StorageException;

/**
 * The payloads of the log on disk. Each begins with its kind: the origin under which the daemon
 * numbers its own adds, or batches of adds.
 */
final class TallyLogRecords {
    private static final int ORIGIN = 1;
    private static final int BATCHES = 2;

    private final List<AddBatch> batches = new ArrayList<>();
    private Optional<Long> origin = Optional.empty();

    private TallyLogRecords() {}

    static byte[] ofOrigin(long origin) {
        return new RecordWriter(ORIGIN).i64(origin).bytes();
    }

    static byte[] ofBatches(List<AddBatch> batches) {
        return new RecordWriter(BATCHES)
                .shortList(batches, (out, batch) -> batch.write(out))
                .bytes();
    }

    /** Reads all payloads in order. */
    static TallyLogRecords read(List<byte[]> payloads) {
        var records = new TallyLogRecords();
        payloads.forEach(records::read);
        return records;
    }

    private void read(byte[] payload) {
        var in = new RecordReader(payload, true);
        switch (in.type()) {
            case ORIGIN -> origin = Optional.of(in.i64());
            case BATCHES -> batches.addAll(in.shortList(AddBatch::read));
            default ->
                    throw new StorageException(
                            "read tallies", "a record of kind " + in.type() + " is not known");
        }
    }

    /** The origin that was written last. */
    Optional<Long> origin() {
        return origin;
    }

    List<AddBatch> batches() {
        return batches;
    }
}
