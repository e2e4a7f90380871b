package martenloom.core.chain;

import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.core.state.ClusterState;

/**
 * What a chain member keeps on its disk, replaced as a whole with every write. Immutable.
 *
 * <p>Invariants: {@code promised} never falls while the disk is kept, {@code accepted} is at most
 * {@code promised}, and nothing is promised or acknowledged to another member before the state that
 * says so is durable.
 *
 * @param promised the highest view this member has promised to take part in
 * @param accepted the view in which it last accepted a state
 * @param state the state it accepted last; committed or not
 */
public record PersistentMemberState(Ballot promised, Ballot accepted, ClusterState state) {
    /** The form on disk. */
    public byte[] encode() {
        var out = new RecordWriter();
        promised.write(out);
        accepted.write(out);
        return out.blob(state.bytes()).bytes();
    }

    /**
     * Reads the form on disk.
     *
     * @throws martenloom.common.error.MalformedRecordException when it is cut short
     */
    public static PersistentMemberState decode(byte[] bytes) {
        var in = new RecordReader(bytes, false);
        return new PersistentMemberState(
                Ballot.read(in), Ballot.read(in), ClusterState.of(in.blob()));
    }
}
