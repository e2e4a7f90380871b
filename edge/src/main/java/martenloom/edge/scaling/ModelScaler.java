package martenloom.edge.scaling;

import java.util.List;
import java.util.Locale;
import martenloom.autoscaler.ReplicaCountController;
import martenloom.autoscaler.ReplicaCounts;
import martenloom.autoscaler.ScalingSettings;
import martenloom.common.clock.Clocks;
import martenloom.edge.home.CoreReply;
import martenloom.edge.replica.ReplicaEndpoint;

/**
 * The scaling of one model while this edge holds the role: what is desired by the requests in
 * flight, and the order under way. There is at most one, and between an order and the moment at
 * which its effect is seen here nothing further is concluded. Runs on the reactor thread.
 */
final class ModelScaler {
    /** How long the effect of an order takes to be seen here at most. */
    private static final long SETTLE_US = 3_000_000;

    private final ReplicaCountController machine;
    private boolean orderPending;
    private long settlingUntilUs;
    private int inFlight;
    private String lastReply = "";

    ModelScaler(ScalingSettings settings, int desired, long now) {
        machine = new ReplicaCountController(settings, desired, now);
    }

    /** Takes the settings in force. */
    void adopt(ScalingSettings settings) {
        machine.updateSettings(settings);
    }

    /** As long as no count was ever ordered, all that are registered are desired. */
    void follow(int registered) {
        machine.trackRegistered(registered);
    }

    /** How many replicas shall serve. */
    int desired() {
        return machine.desired();
    }

    /** Whether an order is under way or its effect is still awaited. */
    boolean isBusy(long now) {
        return orderPending || now < settlingUntilUs;
    }

    /** The effect of the last order is seen. */
    void onPlacementChanged() {
        settlingUntilUs = 0;
    }

    /**
     * Takes a sample of the requests in flight, and decides when that is due.
     *
     * @param reliable whether the sample is of most edges
     */
    void observe(
            int requestsInFlight, boolean reliable, List<ReplicaEndpoint> registered, long now) {
        inFlight = requestsInFlight;
        if (machine.sample(inFlight, reliable, now)) {
            machine.decide(
                    new ReplicaCounts(
                            registered.size(), serving(registered), maxCapacity(registered)),
                    now);
        }
    }

    private static int serving(List<ReplicaEndpoint> registered) {
        var serving = 0;
        for (var replica : registered) {
            serving += replica.isUnloaded() ? 0 : 1;
        }
        return serving;
    }

    private static int maxCapacity(List<ReplicaEndpoint> registered) {
        return registered.stream().mapToInt(ReplicaEndpoint::capacity).max().orElse(1);
    }

    /** An order is sent. */
    void onOrdered() {
        orderPending = true;
    }

    /**
     * The core has replied to the order.
     *
     * @param inForce the count that was in force before the order
     * @param orderedAtUs when the order was sent, in microseconds
     */
    void onReply(CoreReply reply, int inForce, long orderedAtUs) {
        orderPending = false;
        settlingUntilUs = reply.isAccepted() ? Clocks.nowUs() + SETTLE_US : 0;
        lastReply = reply.status() + (reply.text().isEmpty() ? "" : " " + reply.text());
        if (reply.isConflict()) {
            machine.rejected(inForce, reply.text(), orderedAtUs);
        }
    }

    /** For the shell: one line. */
    String text(String key, List<ReplicaEndpoint> registered, long fencingToken, long now) {
        return String.format(
                Locale.ROOT,
                "%s in-flight %d average %.2f wanted %d desired %d running %d"
                        + " registered %d phase %s (%s) delay-left %d ms grant %d"
                        + " last-order %s\n",
                key,
                inFlight,
                machine.average(),
                machine.wanted(),
                machine.desired(),
                serving(registered),
                registered.size(),
                machine.phase(),
                machine.reason(),
                machine.delayLeftUs(now) / 1000,
                fencingToken,
                lastReply.isEmpty() ? "none" : lastReply);
    }
}
