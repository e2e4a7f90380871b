package martenloom.simulation.history;

import java.util.List;
import martenloom.core.state.ClusterState;
import martenloom.core.state.Command;

/** The state of a cluster of one member, changed by one command after the other. */
final class CommittedState {
    private ClusterState state = ClusterState.founded(List.of("a"));

    ClusterState present() {
        return state;
    }

    /** Carries out a command and returns the state after it. */
    ClusterState commit(Command command) {
        state = state.decide(state.accepted(command)).next().orElseThrow();
        return state;
    }
}
