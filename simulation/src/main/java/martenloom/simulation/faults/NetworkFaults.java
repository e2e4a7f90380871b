package martenloom.simulation.faults;

import java.util.ArrayList;
import java.util.List;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.network.SimulatedNetwork;
import martenloom.simulation.schedule.ScheduledFault;

/** Faults of the network between members. */
final class NetworkFaults {
    private static final double LOSS_PROBABILITY = 0.2;
    private static final double DUPLICATE_PROBABILITY = 0.1;

    /** One direction between two machines that carries nothing. */
    private record BlockedLink(String from, String to) {}

    private final SimulatedCluster cluster;
    private final SimulatedNetwork network;
    private final ActiveFaults active;

    NetworkFaults(SimulatedCluster cluster, ActiveFaults active) {
        this.cluster = cluster;
        network = cluster.network();
        this.active = active;
    }

    /** Isolates a machine from all others. */
    boolean isolate(String address, long durationUs) {
        return partition(linksOf(address, true, true), durationUs);
    }

    /** A machine does not reach the others, for even choices, or is not reached by them. */
    boolean isolateOneWay(String address, int choice, long durationUs) {
        var outward = choice % 2 == 0;
        return partition(linksOf(address, outward, !outward), durationUs);
    }

    private List<BlockedLink> linksOf(String address, boolean outward, boolean inward) {
        var links = new ArrayList<BlockedLink>();
        for (var other : cluster.addresses()) {
            if (!other.equals(address) && outward) {
                links.add(new BlockedLink(address, other));
            }
            if (!other.equals(address) && inward) {
                links.add(new BlockedLink(other, address));
            }
        }
        return links;
    }

    /** Two halves that reach one another only by way of the machine of one slot. */
    boolean partitionAround(int bridgeSlot, long durationUs) {
        var others = new ArrayList<>(cluster.addresses());
        others.remove(bridgeSlot);
        var half = others.size() / 2;
        return partition(others.subList(0, half), others.subList(half, others.size()), durationUs);
    }

    /** Blocks all links between two groups. */
    boolean partition(List<String> group, List<String> others, long durationUs) {
        var links = new ArrayList<BlockedLink>();
        for (var one : group) {
            for (var other : others) {
                links.add(new BlockedLink(one, other));
                links.add(new BlockedLink(other, one));
            }
        }
        return partition(links, durationUs);
    }

    /** Blocks the links between the machine that is hit and one other. */
    boolean takeLinkDown(ScheduledFault fault) {
        var slots = cluster.addresses();
        var otherSlot = (fault.slot() + 1 + fault.choice() % (slots.size() - 1)) % slots.size();
        return partition(
                List.of(slots.get(fault.slot())), List.of(slots.get(otherSlot)), fault.lastsUs());
    }

    private boolean partition(List<BlockedLink> links, long durationUs) {
        active.during(
                durationUs,
                () -> links.forEach(link -> network.block(link.from, link.to)),
                () -> links.forEach(link -> network.unblock(link.from, link.to)));
        return true;
    }

    boolean resetConnections(String address) {
        network.reset(address);
        return true;
    }

    boolean loseRecords(long durationUs) {
        var conditions = network.conditions();
        active.during(
                durationUs,
                () -> conditions.setLossProbability(LOSS_PROBABILITY),
                () -> conditions.setLossProbability(0));
        return true;
    }

    boolean duplicateRecords(long durationUs) {
        var conditions = network.conditions();
        active.during(
                durationUs,
                () -> conditions.setDuplicateProbability(DUPLICATE_PROBABILITY),
                () -> conditions.setDuplicateProbability(0));
        return true;
    }

    boolean slowDown(long durationUs) {
        var conditions = network.conditions();
        active.during(durationUs, () -> conditions.setSlow(true), () -> conditions.setSlow(false));
        return true;
    }

    /** Ends whatever is wrong with the network. */
    void healAll() {
        network.healAll();
        network.conditions().reset();
    }
}
