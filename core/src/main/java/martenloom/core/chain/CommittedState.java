package martenloom.core.chain;

import java.util.function.Consumer;
import martenloom.core.state.ClusterState;

/**
 * The newest state known to be committed; its edition is the high watermark and never falls. Tells
 * the owner of the member about each newer state.
 */
final class CommittedState {
    private final Consumer<ChainEffect> effects;
    private ClusterState state;

    CommittedState(ClusterState initial, Consumer<ChainEffect> effects) {
        this.state = initial;
        this.effects = effects;
    }

    ClusterState state() {
        return state;
    }

    long edition() {
        return state.edition();
    }

    /** A state that this member accepted is known to be accepted by the whole chain. */
    void commit(ClusterState accepted) {
        var known = state;
        if (accepted.edition() > known.edition() || known.edition() == 0) {
            state = accepted;
            if (known.edition() != accepted.edition()
                    || !known.roster().members().equals(accepted.roster().members())) {
                effects.accept(new ChainEffect.StateCommitted(accepted));
            }
        }
    }

    /** A committed state came from another member. */
    void install(ClusterState snapshot) {
        if (snapshot.edition() > state.edition()) {
            state = snapshot;
            effects.accept(new ChainEffect.StateCommitted(snapshot));
        }
    }
}
