package martenloom.simulation.faults;

import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.schedule.ScheduledFault;
import martenloom.simulation.workload.Workload;

/**
 * Injects the faults of a schedule, and ends them. Faults that go beyond the losses to be tolerated
 * are left out.
 */
public final class FaultInjector {
    /** Every so many choices the present head is hit, if there is one. */
    private static final int HEAD_ONE_IN = 3;

    private static final int SHORTEST_STORM = 20;
    private static final int STORM_SPREAD = 80;

    private final SimulatedCluster cluster;
    private final Workload workload;
    private final ActiveFaults active;
    private final MachineFaults machines;
    private final NetworkFaults network;
    private final CombinedFaults combined;
    private final ReplacementFaults replacements;

    /** An injector of faults into a cluster and into the messages of its clients. */
    public FaultInjector(
            SimulatedCluster cluster, Workload workload, LossBudget budget, EventQueue events) {
        this.cluster = cluster;
        this.workload = workload;
        active = new ActiveFaults(events);
        machines = new MachineFaults(cluster, events, active, budget);
        network = new NetworkFaults(cluster, active);
        combined = new CombinedFaults(cluster, events, budget, machines, network);
        replacements = new ReplacementFaults(cluster, events, active, budget, machines);
    }

    /** Whether all faults injected so far are over. */
    public boolean isIdle() {
        return active.isEmpty();
    }

    /** Ends what can be ended; machines that are down come back by themselves. */
    public void healAll() {
        network.healAll();
        workload.setLossy(false);
    }

    /** Injects a fault, unless it goes beyond the tolerated losses; returns whether it did. */
    public boolean inject(ScheduledFault fault) {
        var target = target(fault);
        var slot = fault.slot();
        var choice = fault.choice();
        var lastsUs = fault.lastsUs();
        return switch (fault.kind()) {
            case CRASH -> machines.crash(target, lastsUs, DataLoss.NONE);
            case CRASH_ALL -> machines.crashAll(lastsUs, choice, DataLoss.NONE);
            case POWER_LOSS -> machines.crash(target, lastsUs, DataLoss.UNSYNCED);
            case POWER_LOSS_ALL -> machines.crashAll(lastsUs, choice, DataLoss.UNSYNCED);
            case DISK_WIPE -> machines.crashLosingState(target, lastsUs, DataLoss.EVERYTHING);
            case DISK_WIPE_AND_POWER_LOSS -> combined.wipeAndLosePower(fault);
            case LOSS_AFTER_PARTITION -> combined.loseStateAfterPartition(fault);
            case TORN_NEWEST_FILE ->
                    machines.crashLosingState(target, lastsUs, DataLoss.NEWEST_FILE);
            case ISOLATION, LONG_ISOLATION -> network.isolate(target, lastsUs);
            case ONE_WAY_PARTITION -> network.isolateOneWay(target, choice, lastsUs);
            case BRIDGED_PARTITION -> network.partitionAround(slot, lastsUs);
            case LINK_DOWN -> network.takeLinkDown(fault);
            case CONNECTION_RESET -> network.resetConnections(target);
            case MESSAGE_LOSS -> network.loseRecords(lastsUs);
            case DUPLICATES -> network.duplicateRecords(lastsUs);
            case SLOW_NETWORK -> network.slowDown(lastsUs);
            case CLIENT_MESSAGE_LOSS -> loseClientMessages(lastsUs);
            case DISK_STALL -> machines.stallDisk(target, lastsUs);
            case DISK_FULL -> machines.fillDisk(target, lastsUs);
            case FREEZE -> machines.freeze(target, lastsUs);
            case RESTART -> replacements.restart(target, lastsUs);
            case PLANNED_REPLACEMENT -> replacements.replacePlanned(slot, lastsUs);
            case UNPLANNED_REPLACEMENT -> replacements.replaceUnplanned(slot);
            case TWO_REPLACEMENTS -> replacements.replaceTwo(fault);
            case CONFIGURATION_STORM -> storm(slot, choice);
            case PROCESSOR_QUOTA -> machines.limitProcessors(target, choice, lastsUs);
        };
    }

    /** The machine that is hit, for those kinds that hit one and may choose which. */
    private String target(ScheduledFault fault) {
        var scheduled = cluster.addresses().get(fault.slot());
        return fault.choice() % HEAD_ONE_IN == 0
                ? cluster.headAddress().orElse(scheduled)
                : scheduled;
    }

    private boolean loseClientMessages(long durationUs) {
        active.during(durationUs, () -> workload.setLossy(true), () -> workload.setLossy(false));
        return true;
    }

    private boolean storm(int slot, int choice) {
        workload.storm(slot, SHORTEST_STORM + choice % STORM_SPREAD);
        return true;
    }
}
