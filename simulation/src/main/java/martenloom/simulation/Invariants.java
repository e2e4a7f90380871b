package martenloom.simulation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenloom.core.chain.Ballot;
import martenloom.core.state.ClusterState;

/**
 * Looks on at every commit and every acknowledgement, and throws a {@link Violation} at the first
 * that must not be.
 */
final class Invariants {
    private record Acknowledger(String address, long life) {}

    private final TreeMap<Long, ClusterState> committed = new TreeMap<>();
    private final Map<Long, byte[]> bytes = new HashMap<>();
    private final Map<Ballot, Acknowledger> acknowledgers = new HashMap<>();
    private final ConfigurationHistory configurations = new ConfigurationHistory();
    private final EvacuationHistory evacuations = new EvacuationHistory();
    private final LeaseHistory leases = new LeaseHistory();

    ConfigurationHistory configurations() {
        return configurations;
    }

    EvacuationHistory evacuations() {
        return evacuations;
    }

    LeaseHistory leases() {
        return leases;
    }

    /** The newest edition that any member has committed. */
    long newestEdition() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    void committed(String address, ClusterState state) {
        if (state.edition() == 0) {
            return;
        }
        var mine = state.bytes();
        var known = bytes.putIfAbsent(state.edition(), mine);
        if (known == null) {
            committed.put(state.edition(), state);
            onNewEdition(state);
        } else if (!Arrays.equals(known, mine)) {
            throw new Violation(
                    Invariant.ONE_STATE_PER_EDITION,
                    address + " commits another state under edition " + state.edition());
        }
    }

    private void onNewEdition(ClusterState state) {
        var before = committed.get(state.edition() - 1);
        if (before != null) {
            checkRosters(before.roster().members(), state.roster().members());
            configurations.onNext(before, state);
            leases.onNext(before, state);
        }
        configurations.onCommitted(state);
        evacuations.onCommitted(state);
    }

    private static void checkRosters(List<String> before, List<String> after) {
        var both = new HashSet<>(before);
        both.addAll(after);
        if (majority(before) + majority(after) <= both.size()) {
            throw new Violation(
                    Invariant.MAJORITIES_MEET, "roster " + before + " is followed by " + after);
        }
    }

    private static int majority(List<String> roster) {
        return roster.size() / 2 + 1;
    }

    void acknowledged(Ballot view, String address, long life) {
        var mine = new Acknowledger(address, life);
        var known = acknowledgers.putIfAbsent(view, mine);
        if (known != null && !known.equals(mine)) {
            throw new Violation(
                    Invariant.ONE_HEAD_PER_VIEW,
                    "in view " + view + " both " + known + " and " + mine + " acknowledge");
        }
    }
}
