package martenloom.core.registry;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Waits until a majority of the roster has acknowledged one update. The outcome is reported exactly
 * once: true as soon as the majority is reached, false when the timeout comes first. Runs on the
 * reactor thread.
 */
public final class QuorumAcknowledgement {
    private final Set<String> roster;
    private final Set<String> acknowledgedBy = new TreeSet<>();
    private final Consumer<Boolean> outcome;
    private boolean decided;

    /** Nobody has acknowledged yet, not even the sender; it does so like the other members. */
    public QuorumAcknowledgement(Collection<String> roster, Consumer<Boolean> outcome) {
        this.roster = Set.copyOf(roster);
        this.outcome = outcome;
    }

    /** A daemon has the update; one that is not on the roster does not count. */
    public void acknowledgedBy(String member) {
        if (roster.contains(member)
                && acknowledgedBy.add(member)
                && acknowledgedBy.size() * 2 > roster.size()) {
            decide(true);
        }
    }

    /** No acknowledgement counts from now on. */
    public void timedOut() {
        decide(false);
    }

    private void decide(boolean reached) {
        if (!decided) {
            decided = true;
            outcome.accept(reached);
        }
    }
}
