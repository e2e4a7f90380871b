package martenloom.core.state;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The one layout that all commands share on the wire and on disk. What a field means for a kind of
 * command is known to {@link CommandCodec} alone.
 *
 * @param base a revision, a fencing token or an urgency
 * @param subject a zone, role, member, deployment or job
 * @param body the content of the command
 * @param atUs the clock of the jobs, in microseconds
 * @param survey what runs where
 * @param version the version an order was accepted on, its sequence number, or the run of a job
 */
record CommandFields(
        CommandType type,
        long base,
        String subject,
        String body,
        long atUs,
        String survey,
        long version) {

    /** Appends the fields to a record. */
    void write(RecordWriter out) {
        out.u8(type.number())
                .i64(base)
                .text(subject)
                .text(body)
                .i64(atUs)
                .text(survey)
                .i64(version);
    }

    /** Reads what {@link #write} wrote. */
    static CommandFields read(RecordReader in) {
        return new CommandFields(
                CommandType.ofNumber(in.u8()),
                in.i64(),
                in.text(),
                in.text(),
                in.i64(),
                in.text(),
                in.i64());
    }
}
