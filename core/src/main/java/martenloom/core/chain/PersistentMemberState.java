package martenloom.core.chain;

import java.util.Optional;
import java.util.function.Function;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Content;
import martenloom.core.state.ClusterState;
import martenloom.core.state.EncodedState;

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
    /** The form on disk; the contents that it names are stored apart. */
    public byte[] encode(EncodedState encoded) {
        var out = new RecordWriter();
        promised.write(out);
        accepted.write(out);
        encoded.writeBytes(out);
        if (encoded.hasReferences()) {
            encoded.writeReferences(out);
        }
        return out.bytes();
    }

    /** The form on disk of a state without contents that are stored apart. */
    public byte[] encode() {
        return encode(EncodedState.of(state));
    }

    /**
     * Reads the form on disk.
     *
     * @param contents finds the contents that are stored apart
     * @return empty when one of them is missing
     * @throws martenloom.common.error.MalformedRecordException when it is cut short
     */
    public static Optional<PersistentMemberState> decode(
            byte[] bytes, Function<String, Optional<Content>> contents) {
        var in = new RecordReader(bytes, false);
        var promised = Ballot.read(in);
        var accepted = Ballot.read(in);
        var named = EncodedState.read(in);
        var encoded = (in.hasMore() ? named.withReferences(in) : named).resolved(contents);
        return encoded.missing().isEmpty()
                ? Optional.of(new PersistentMemberState(promised, accepted, encoded.decode()))
                : Optional.empty();
    }

    /** Reads the form on disk of a state without contents that are stored apart. */
    public static PersistentMemberState decode(byte[] bytes) {
        return decode(bytes, digest -> Optional.empty()).orElseThrow();
    }
}
