package martenloom.core.chain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What a member has on disk, and the one write that may be under way. While one is, whatever needs
 * the disk waits in order of arrival; beyond a bound it is dropped, as if the message were lost.
 */
final class DurableState {
    /** A write that takes longer than this means that the disk hangs. */
    private static final long STALLED_DISK_US = 800_000;

    private static final int MAX_DEFERRED = 256;

    private final Consumer<ChainEffect> effects;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private PersistentMemberState kept;
    private Optional<PersistentMemberState> storing = Optional.empty();
    private Runnable afterStore = () -> {};

    /** Of the newest write. */
    private long token;

    private long storingSinceUs;

    DurableState(PersistentMemberState kept, Consumer<ChainEffect> effects) {
        this.kept = kept;
        this.effects = effects;
    }

    /** What is durable. */
    PersistentMemberState kept() {
        return kept;
    }

    boolean isFree() {
        return storing.isEmpty();
    }

    /** Whether a write has been under way for longer than a healthy disk takes. */
    boolean isStalled(long nowUs) {
        return storing.isPresent() && nowUs - storingSinceUs > STALLED_DISK_US;
    }

    /** Begins a write, which must be the only one, and runs the rest once it is durable. */
    void store(PersistentMemberState next, long nowUs, Runnable then) {
        storing = Optional.of(next);
        afterStore = then;
        storingSinceUs = nowUs;
        effects.accept(new ChainEffect.PersistState(++token, next));
    }

    /** Runs at once when the disk is free, else when it is. */
    void whenFree(Runnable action) {
        if (isFree()) {
            action.run();
        } else if (deferred.size() < MAX_DEFERRED) {
            deferred.add(action);
        }
    }

    /** Whether this is the write under way; then its state is what is kept. */
    boolean onStored(long storedToken) {
        if (isFree() || storedToken != token) {
            return false;
        }
        kept = storing.get();
        storing = Optional.empty();
        return true;
    }

    /** Runs what waited for the write, for as long as no further one is begun. */
    void runDeferred() {
        var then = afterStore;
        afterStore = () -> {};
        then.run();
        while (isFree() && !deferred.isEmpty()) {
            deferred.poll().run();
        }
    }
}
