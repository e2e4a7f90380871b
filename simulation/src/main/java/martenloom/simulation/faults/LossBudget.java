package martenloom.simulation.faults;

import java.util.Set;
import java.util.TreeSet;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;

/**
 * Keeps losses of state within what the cluster has to tolerate. A machine counts as lost until the
 * cluster was calm for long enough after its return for it to catch up.
 */
public final class LossBudget {
    private static final long CATCH_UP_US = 4_000_000;

    private final SimulatedCluster cluster;
    private final EventQueue events;
    private final Set<String> lost = new TreeSet<>();
    private long calmSinceUs;

    public LossBudget(SimulatedCluster cluster, EventQueue events) {
        this.cluster = cluster;
        this.events = events;
    }

    int toleratedLosses() {
        return cluster.toleratedLosses();
    }

    /** Counts a machine as lost; refuses when that would be one more than is tolerated. */
    boolean tryLose(String address) {
        var others = lost.stream().filter(other -> !other.equals(address)).count();
        if (others >= toleratedLosses()) {
            return false;
        }
        countAsLost(address);
        return true;
    }

    /** Counts a machine as lost in any case, so that no other one is lost beside it. */
    void countAsLost(String address) {
        lost.add(address);
        onDisturbed();
    }

    /** The cluster is not calm: a fault was injected or is active, or a member is down. */
    public void onDisturbed() {
        calmSinceUs = events.nowUs();
    }

    /** For how long the cluster has been calm. */
    public long calmUs() {
        return events.nowUs() - calmSinceUs;
    }

    /** Takes the lost machines back into account once the cluster was calm for long enough. */
    public void recoverWhenCalm() {
        if (calmUs() > CATCH_UP_US) {
            lost.clear();
        }
    }
}
