package martenloom.core.driver;

import java.util.Optional;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.state.EncodedState;
import martenloom.core.storage.StoredVersion;
import martenloom.core.storage.VersionedStore;

/**
 * Keeps what a chain member has to keep in a {@link VersionedStore}: each state is a version, and
 * the large contents that it names are stored once.
 */
public final class MemberStateStore {
    private final VersionedStore store;

    /** A store of states in a folder that nothing else writes versions to. */
    public MemberStateStore(VersionedStore store) {
        this.store = store;
    }

    /** What was written last; empty when nothing ever was, or when the disk is damaged. */
    public Optional<PersistentMemberState> load() {
        var version = store.load();
        var found = version.flatMap(bytes -> PersistentMemberState.decode(bytes, store::content));
        if (version.isPresent() && found.isEmpty()) {
            store.onContentMissing();
        }
        return found;
    }

    /** Writes a state on the caller's thread; it is durable when the call returns. */
    public void write(PersistentMemberState state) {
        store.write(versionOf(state));
    }

    /** Writes a state on the store's thread, again for as long as the disk refuses. */
    public void writeAsync(PersistentMemberState state, Runnable done) {
        store.writeAsync(() -> versionOf(state), done);
    }

    private static StoredVersion versionOf(PersistentMemberState state) {
        var encoded = EncodedState.of(state.state());
        return new StoredVersion(state.encode(encoded), encoded.contents());
    }
}
