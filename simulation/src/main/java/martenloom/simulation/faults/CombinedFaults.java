package martenloom.simulation.faults;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.function.Function;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.schedule.ScheduledFault;

/** Faults that hit several machines in different ways. */
final class CombinedFaults {
    /** Long enough for the majority to go on without those that are partitioned off. */
    private static final long SHORTEST_PARTITION_US = 3_000_000;

    /** Of wipes with a loss of power, one choice in so many tears the newest file instead. */
    private static final int TORN_ONE_IN = 3;

    private final SimulatedCluster cluster;
    private final EventQueue events;
    private final LossBudget budget;
    private final MachineFaults machines;
    private final NetworkFaults network;

    CombinedFaults(
            SimulatedCluster cluster,
            EventQueue events,
            LossBudget budget,
            MachineFaults machines,
            NetworkFaults network) {
        this.cluster = cluster;
        this.events = events;
        this.budget = budget;
        this.machines = machines;
        this.network = network;
    }

    /** As many disks as is tolerated are lost, or newest files torn; all others lose power. */
    boolean wipeAndLosePower(ScheduledFault fault) {
        var slots = cluster.addresses();
        var lost = new HashSet<String>();
        for (var i = 0; i < budget.toleratedLosses(); i++) {
            var address = slots.get((fault.slot() + i) % slots.size());
            if (budget.tryLose(address)) {
                lost.add(address);
            }
        }
        var worst = fault.choice() % TORN_ONE_IN == 0 ? DataLoss.NEWEST_FILE : DataLoss.EVERYTHING;
        Function<String, DataLoss> lossOfAddress =
                address -> lost.contains(address) ? worst : DataLoss.UNSYNCED;
        machines.crashAll(slots, fault.lastsUs(), fault.choice(), lossOfAddress);
        return !lost.isEmpty();
    }

    /** A minority that fell behind is needed again, as others lose their state. */
    boolean loseStateAfterPartition(ScheduledFault fault) {
        var addresses = new ArrayList<>(cluster.addresses());
        Collections.rotate(addresses, fault.slot());
        var minority = (addresses.size() - 1) / 2;
        var majority = addresses.subList(minority, addresses.size());
        var partitionUs = Math.max(SHORTEST_PARTITION_US, fault.lastsUs());
        network.partition(addresses.subList(0, minority), majority, partitionUs);
        var loss = fault.choice() % 2 == 0 ? DataLoss.EVERYTHING : DataLoss.NEWEST_FILE;
        var downtimeUs =
                (1 + fault.choice() % MachineFaults.RETURN_STEPS) * MachineFaults.RETURN_STEP_US;
        events.after(partitionUs, () -> loseStateOrStop(majority, loss, downtimeUs));
        return true;
    }

    /** The first ones lose their state, as long as that is tolerated; the others stay away. */
    private void loseStateOrStop(List<String> addresses, DataLoss loss, long downtimeUs) {
        for (var address : addresses) {
            if (cluster.machine(address).isPresent() && budget.tryLose(address)) {
                machines.crash(address, MachineFaults.SHORTEST_DOWNTIME_US, loss);
            } else {
                machines.crash(address, downtimeUs, DataLoss.NONE);
            }
        }
    }
}
