package martenloom.core.registry;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Waits until a majority of the roster has confirmed one piece of news, and tells the outcome once:
 * true as soon as a majority has it, false when the time is up before.
 */
public final class QuorumAcknowledgement {
    private final Set<String> roster;
    private final Set<String> received = new TreeSet<>();
    private final Consumer<Boolean> outcome;
    private boolean decided;

    /** Counts nobody yet; the sender counts as a receiver only when it confirms to itself. */
    public QuorumAcknowledgement(Collection<String> roster, Consumer<Boolean> outcome) {
        this.roster = Set.copyOf(roster);
        this.outcome = outcome;
    }

    /** A member has the news; one that is not on the roster does not count. */
    public void receivedBy(String member) {
        if (roster.contains(member)
                && received.add(member)
                && received.size() * 2 > roster.size()) {
            decide(true);
        }
    }

    /** The time is up. */
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
