package martenloom.core.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.jobs.Content;

/**
 * A state as it is sent and stored: its bytes without the large contents of jobs, which these bytes
 * only name, and the contents as far as they are at hand. What is written for each change of the
 * state so does not grow with the contents that are kept. Immutable.
 *
 * @param bytes the state, with the large contents empty
 * @param references the contents that are empty in it
 * @param contents those of them that are at hand, by their digests
 */
public record EncodedState(
        byte[] bytes, List<ContentReference> references, Map<String, Content> contents) {
    /** Stands for a state that its receiver holds already. */
    public static final EncodedState NONE = new EncodedState(new byte[0], List.of(), Map.of());

    /** A content up to this size stands in the bytes of the state. */
    static final int MAX_INLINE_BYTES = 4_096;

    /** Encodes a state, with all its contents at hand. */
    public static EncodedState of(ClusterState state) {
        var references = state.jobs().references();
        var contents = new LinkedHashMap<String, Content>();
        for (var reference : references) {
            contents.put(reference.digest(), state.jobs().content(reference));
        }
        return new EncodedState(state.bytes(MAX_INLINE_BYTES), references, contents);
    }

    /** Whether there is a state. */
    public boolean isPresent() {
        return bytes.length > 0;
    }

    /** Whether some contents are kept apart. */
    public boolean hasReferences() {
        return !references.isEmpty();
    }

    /** The digests of the contents that are not at hand, each once. */
    public List<String> missing() {
        return references.stream()
                .map(ContentReference::digest)
                .filter(digest -> !contents.containsKey(digest))
                .distinct()
                .toList();
    }

    /** The same with those of its contents at hand that can be found. */
    public EncodedState resolved(Function<String, Optional<Content>> find) {
        var found = new LinkedHashMap<>(contents);
        for (var digest : missing()) {
            find.apply(digest).ifPresent(content -> found.put(digest, content));
        }
        return new EncodedState(bytes, references, found);
    }

    /** The state itself; nothing may be missing. */
    public ClusterState decode() {
        var state = ClusterState.of(bytes);
        for (var reference : references) {
            state.jobs().restore(reference, contents.get(reference.digest()));
        }
        return state;
    }

    // ---- as a part of a record

    /** Appends the bytes; the references follow by {@link #writeReferences}. */
    public void writeBytes(RecordWriter out) {
        out.blob(bytes);
    }

    /** Appends the references; to be left out where there are none, as former versions do. */
    public void writeReferences(RecordWriter out) {
        out.list(references, (row, reference) -> reference.write(row));
    }

    /** Reads a state without references. */
    public static EncodedState read(RecordReader in) {
        return new EncodedState(in.blob(), List.of(), Map.of());
    }

    /** The same with the references that follow in a record. */
    public EncodedState withReferences(RecordReader in) {
        return new EncodedState(bytes, in.list(ContentReference::read), contents);
    }
}
