package martenloom.simulation.history;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenloom.core.chain.Ballot;
import martenloom.core.state.ClusterState;

/**
 * Observes every commit and every acknowledgement of all members, and throws an {@link
 * InvariantViolation} at the first that must not be. Keeps the histories of the clients' calls.
 */
public final class InvariantChecker {
    private record Acknowledger(String address, long incarnation) {}

    private final TreeMap<Long, ClusterState> stateByEdition = new TreeMap<>();
    private final Map<Long, byte[]> bytesByEdition = new HashMap<>();
    private final Map<Ballot, Acknowledger> acknowledgerByView = new HashMap<>();
    private final ConfigurationHistory configurations = new ConfigurationHistory();
    private final EvacuationHistory evacuations = new EvacuationHistory();
    private final LeaseHistory leases = new LeaseHistory();
    private final JobHistory jobs = new JobHistory();

    public ConfigurationHistory configurations() {
        return configurations;
    }

    public EvacuationHistory evacuations() {
        return evacuations;
    }

    public LeaseHistory leases() {
        return leases;
    }

    public JobHistory jobs() {
        return jobs;
    }

    /** The newest edition that any member has committed. */
    public long newestEdition() {
        return stateByEdition.isEmpty() ? 0 : stateByEdition.lastKey();
    }

    /** A member has committed a state. */
    public void onCommitted(String address, ClusterState state) {
        if (state.edition() == 0) {
            return;
        }
        var bytes = state.bytes();
        var known = bytesByEdition.putIfAbsent(state.edition(), bytes);
        if (known == null) {
            stateByEdition.put(state.edition(), state);
            onNewEdition(state);
        } else if (!Arrays.equals(known, bytes)) {
            throw new InvariantViolation(
                    Invariant.ONE_STATE_PER_EDITION,
                    address + " commits another state under edition " + state.edition());
        }
    }

    private void onNewEdition(ClusterState state) {
        var before = stateByEdition.get(state.edition() - 1);
        if (before != null) {
            checkRosters(before.roster().members(), state.roster().members());
            configurations.onNext(before, state);
            leases.onNext(before, state);
        }
        configurations.onCommitted(state);
        evacuations.onCommitted(state);
        jobs.onCommitted(state);
    }

    private static void checkRosters(List<String> before, List<String> after) {
        var union = new HashSet<>(before);
        union.addAll(after);
        Invariant.MAJORITIES_MEET.check(
                majority(before) + majority(after) > union.size(),
                "roster " + before + " is followed by " + after);
    }

    private static int majority(List<String> roster) {
        return roster.size() / 2 + 1;
    }

    /** A member has acknowledged a command as the head of a view. */
    public void onAcknowledged(Ballot view, String address, long incarnation) {
        var acknowledger = new Acknowledger(address, incarnation);
        var known = acknowledgerByView.putIfAbsent(view, acknowledger);
        if (known != null && !known.equals(acknowledger)) {
            throw new InvariantViolation(
                    Invariant.ONE_HEAD_PER_VIEW,
                    "in view " + view + " both " + known + " and " + acknowledger + " acknowledge");
        }
    }
}
