package martenloom.simulation.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenloom.core.state.ClusterState;

/**
 * The commands that evacuate zones and bring them back, as one register for each zone. A client
 * sends the commands for its zone one after the other; once one was acknowledged and until the next
 * is sent, no edition committed from then on may show its opposite.
 */
public final class EvacuationHistory {
    private static final class ZoneRegister {
        private boolean evacuationWanted;

        /** Whether the newest command has no outcome yet. */
        private boolean inFlight;

        /** Whether the newest command was acknowledged. */
        private boolean acknowledged;

        private long editionAtAcknowledgement;

        /** Whether an edition since the sending showed what is wanted. */
        private boolean wantedStateSeen;

        /** Whether the command before was acknowledged, so that no copy of it may act any more. */
        private boolean previousAcknowledged;
    }

    private final Map<String, ZoneRegister> registers = new HashMap<>();
    private ClusterState newest = ClusterState.founded(List.of());

    /** The client of a zone is about to send a command. */
    public void onSent(String zone, boolean evacuated) {
        var register = registers.computeIfAbsent(zone, name -> new ZoneRegister());
        register.previousAcknowledged = register.acknowledged;
        register.inFlight = true;
        register.evacuationWanted = evacuated;
        register.wantedStateSeen = isEvacuated(newest, zone) == evacuated;
        register.acknowledged = false;
    }

    /** The newest command of a zone was acknowledged to its client. */
    public void onAcknowledged(String zone) {
        var register = registers.get(zone);
        register.inFlight = false;
        register.acknowledged = true;
        register.editionAtAcknowledgement = newest.edition();
        Invariant.OWN_ANSWER.check(
                register.wantedStateSeen,
                "zone "
                        + zone
                        + " is acknowledged as "
                        + word(register.evacuationWanted)
                        + ", which no edition shows");
        var undone = isEvacuated(newest, zone) != register.evacuationWanted;
        Invariant.NO_STALE_ORDER.check(
                !register.previousAcknowledged || !undone,
                "zone "
                        + zone
                        + " is acknowledged as "
                        + word(register.evacuationWanted)
                        + ", but edition "
                        + newest.edition()
                        + " undoes it");
    }

    /** The client of a zone has given up its newest command, whose outcome is not known. */
    public void onGivenUp(String zone) {
        registers.get(zone).inFlight = false;
    }

    /** A state was committed for the first time. */
    void onCommitted(ClusterState state) {
        if (state.edition() > newest.edition()) {
            newest = state;
        }
        registers.forEach((zone, register) -> check(zone, register, state));
    }

    private static void check(String zone, ZoneRegister register, ClusterState state) {
        var wanted = isEvacuated(state, zone) == register.evacuationWanted;
        register.wantedStateSeen |= wanted;
        var settled =
                register.acknowledged
                        && !register.inFlight
                        && state.edition() > register.editionAtAcknowledgement;
        Invariant.NO_STALE_ORDER.check(
                wanted || !settled,
                "zone "
                        + zone
                        + " was acknowledged as "
                        + word(register.evacuationWanted)
                        + ", and edition "
                        + state.edition()
                        + " undoes it");
    }

    private static boolean isEvacuated(ClusterState state, String zone) {
        return state.evacuations().zones().contains(zone);
    }

    private static String word(boolean evacuated) {
        return evacuated ? "evacuated" : "in use";
    }
}
