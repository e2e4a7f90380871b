package martenloom.simulation.faults;

import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.schedule.ScheduledFault;

/** Restarts and replacements of machines, planned and unplanned. */
final class ReplacementFaults {
    /** How long an operator waits at least between the new machine and the end of the old one. */
    private static final long OVERLAP_US = 1_000_000;

    private static final long BETWEEN_REPLACEMENTS_US = 6_000_000;
    private static final long GRACE_PERIOD_US = 8_000_000;

    private final SimulatedCluster cluster;
    private final EventQueue events;
    private final ActiveFaults active;
    private final LossBudget budget;
    private final MachineFaults machines;

    ReplacementFaults(
            SimulatedCluster cluster,
            EventQueue events,
            ActiveFaults active,
            LossBudget budget,
            MachineFaults machines) {
        this.cluster = cluster;
        this.events = events;
        this.active = active;
        this.budget = budget;
        this.machines = machines;
    }

    /** A graceful shutdown, and a start on the same disk. */
    boolean restart(String address, long downtimeUs) {
        if (cluster.running(address).isEmpty()) {
            return false;
        }
        budget.countAsLost(address);
        shutDown(address, () -> machines.crash(address, downtimeUs, DataLoss.NONE));
        return true;
    }

    /** The new machine starts first; some time later the old one shuts down gracefully. */
    boolean replacePlanned(int slot, long overlapUs) {
        var old = cluster.addresses().get(slot);
        if (!budget.tryLose(old)) {
            return false;
        }
        cluster.replace(slot);
        active.during(
                OVERLAP_US + overlapUs, () -> {}, () -> shutDown(old, () -> cluster.remove(old)));
        return true;
    }

    boolean replaceUnplanned(int slot) {
        var old = cluster.addresses().get(slot);
        if (!budget.tryLose(old)) {
            return false;
        }
        cluster.remove(old);
        cluster.replace(slot);
        return true;
    }

    /** Two planned replacements, the second one some seconds after the first. */
    boolean replaceTwo(ScheduledFault fault) {
        if (!replacePlanned(fault.slot(), fault.lastsUs())) {
            return false;
        }
        var next = (fault.slot() + 1) % cluster.addresses().size();
        events.after(
                BETWEEN_REPLACEMENTS_US + fault.lastsUs(),
                () -> replacePlanned(next, fault.lastsUs()));
        return true;
    }

    /** A graceful shutdown; what follows it comes at the end of the grace period at the latest. */
    private void shutDown(String address, Runnable then) {
        var member = cluster.running(address);
        var end = active.begin(then);
        events.after(GRACE_PERIOD_US, end);
        member.ifPresentOrElse(leaving -> leaving.shutDown(end), end);
    }
}
