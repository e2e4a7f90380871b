package martenloom.core.state;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.JobPart;

/**
 * Names a content of a job that is kept apart from an encoded state.
 *
 * @param digest SHA-256 of the content in hexadecimal digits
 */
public record ContentReference(String jobId, JobPart part, String digest) {
    /** Appends the reference to a record. */
    void write(RecordWriter out) {
        out.text(jobId).u8(part.ordinal()).text(digest);
    }

    /** Reads what {@link #write} wrote. */
    static ContentReference read(RecordReader in) {
        return new ContentReference(in.text(), JobPart.ofOrdinal(in.u8()), in.text());
    }
}
