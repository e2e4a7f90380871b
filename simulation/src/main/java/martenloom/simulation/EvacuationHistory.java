package martenloom.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import martenloom.core.state.ClusterState;

/**
 * The orders that evacuate zones, as one register for each zone. An operator gives the orders for
 * its zone one after the other; once one was acknowledged and until the next is sent, no edition
 * committed from then on may show its opposite.
 */
final class EvacuationHistory {
    private static final class Zone {
        private boolean open;
        private Optional<Boolean> acknowledged = Optional.empty();
        private long editionAtAnswer;
        private boolean wanted;

        /** Whether an edition since the sending showed what is wanted. */
        private boolean shown;

        /**
         * Whether the order before this one had a clear answer, so that no copy of it may act any
         * more.
         */
        private boolean settledBefore;
    }

    private final Map<String, Zone> zones = new HashMap<>();
    private ClusterState newest = ClusterState.founded(List.of());

    void onSent(String zone, boolean evacuated) {
        var z = zones.computeIfAbsent(zone, k -> new Zone());
        z.settledBefore = z.acknowledged.isPresent();
        z.open = true;
        z.wanted = evacuated;
        z.shown = newest.evacuations().zones().contains(zone) == evacuated;
        z.acknowledged = Optional.empty();
    }

    void onAcknowledged(String zone, boolean evacuated) {
        var z = zones.get(zone);
        z.open = false;
        z.acknowledged = Optional.of(evacuated);
        z.editionAtAnswer = newest.edition();
        if (!z.shown) {
            throw new Violation(
                    Invariant.OWN_ANSWER,
                    "zone "
                            + zone
                            + " is acknowledged as "
                            + word(evacuated)
                            + ", which no edition shows");
        }
        if (z.settledBefore && newest.evacuations().zones().contains(zone) != evacuated) {
            throw new Violation(
                    Invariant.NO_STALE_ORDER,
                    "zone "
                            + zone
                            + " is acknowledged as "
                            + word(evacuated)
                            + ", but edition "
                            + newest.edition()
                            + " undoes it");
        }
    }

    void onGivenUp(String zone) {
        zones.get(zone).open = false;
    }

    void onCommitted(ClusterState state) {
        if (state.edition() > newest.edition()) {
            newest = state;
        }
        zones.forEach((name, zone) -> check(name, zone, state));
    }

    private static void check(String name, Zone zone, ClusterState state) {
        zone.shown |= state.evacuations().zones().contains(name) == zone.wanted;
        if (zone.open || zone.acknowledged.isEmpty() || state.edition() <= zone.editionAtAnswer) {
            return;
        }
        var wanted = zone.acknowledged.get();
        if (state.evacuations().zones().contains(name) != wanted) {
            throw new Violation(
                    Invariant.NO_STALE_ORDER,
                    "zone "
                            + name
                            + " was acknowledged as "
                            + word(wanted)
                            + ", and edition "
                            + state.edition()
                            + " undoes it");
        }
    }

    private static String word(boolean evacuated) {
        return evacuated ? "evacuated" : "in use";
    }
}
