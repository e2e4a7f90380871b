package martenloom.common.link;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The id of one request between daemons.
 *
 * @param incarnation a random number of the run of the sender
 * @param number counts the requests of that run
 */
public record RequestId(long incarnation, long number) {
    /** Writes the id. */
    public void write(RecordWriter out) {
        out.i64(incarnation).i64(number);
    }

    /** Reads what {@link #write} wrote. */
    public static RequestId read(RecordReader in) {
        return new RequestId(in.i64(), in.i64());
    }
}
