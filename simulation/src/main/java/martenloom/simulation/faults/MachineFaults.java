package martenloom.simulation.faults;

import java.util.List;
import java.util.function.Function;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.engine.EventQueue;

/** Faults of processes and disks. Each method returns whether the fault was injected. */
final class MachineFaults {
    static final long SHORTEST_DOWNTIME_US = 100_000;

    /** Machines that went down together come back up to so many steps apart. */
    static final int RETURN_STEPS = 5;

    static final long RETURN_STEP_US = 1_000_000;

    private static final long QUOTA_PERIOD_US = 100_000;
    private static final long SHORTEST_PAUSE_US = 20_000;

    /** A process that has a third of a processor and always wants more stands still for so long. */
    private static final long LONGEST_PAUSE_US = 67_000;

    /** All machines at once, all in turn, or one. */
    private static final int QUOTA_VARIANTS = 3;

    private final SimulatedCluster cluster;
    private final EventQueue events;
    private final ActiveFaults active;
    private final LossBudget budget;

    MachineFaults(
            SimulatedCluster cluster, EventQueue events, ActiveFaults active, LossBudget budget) {
        this.cluster = cluster;
        this.events = events;
        this.active = active;
        this.budget = budget;
    }

    /** Ends a process; one that is down already can only lose data. */
    boolean crash(String address, long downtimeUs, DataLoss loss) {
        var machine = cluster.machine(address);
        if (machine.isEmpty() || !machine.get().kill() && loss == DataLoss.NONE) {
            return false;
        }
        loss.applyTo(machine.get().disk());
        active.during(
                Math.max(SHORTEST_DOWNTIME_US, downtimeUs),
                () -> {},
                () -> cluster.startIfDown(address));
        return true;
    }

    /** Ends a process and loses state, as long as that has to be tolerated. */
    boolean crashLosingState(String address, long downtimeUs, DataLoss loss) {
        return budget.tryLose(address) && crash(address, downtimeUs, loss);
    }

    /** Hits all machines at once; they come back together or, for odd choices, seconds apart. */
    boolean crashAll(long downtimeUs, int choice, DataLoss loss) {
        return crashAll(cluster.addresses(), downtimeUs, choice, address -> loss);
    }

    boolean crashAll(
            List<String> addresses,
            long downtimeUs,
            int choice,
            Function<String, DataLoss> lossOfAddress) {
        var injected = false;
        for (var i = 0; i < addresses.size(); i++) {
            var laterUs = choice % 2 == 0 ? 0 : (choice >> i) % RETURN_STEPS * RETURN_STEP_US;
            var address = addresses.get(i);
            injected |= crash(address, downtimeUs + laterUs, lossOfAddress.apply(address));
        }
        return injected;
    }

    boolean stallDisk(String address, long durationUs) {
        var machine = cluster.machine(address);
        machine.ifPresent(
                stalled ->
                        active.during(
                                durationUs,
                                () -> stalled.stallDisk(events.nowUs() + durationUs),
                                () -> {}));
        return machine.isPresent();
    }

    boolean fillDisk(String address, long durationUs) {
        var disk = cluster.machine(address).map(machine -> machine.disk());
        disk.ifPresent(
                full ->
                        active.during(
                                durationUs, () -> full.setFull(true), () -> full.setFull(false)));
        return disk.isPresent();
    }

    /**
     * Lets processes stand still for a part of each tenth of a second: those of all machines at
     * once, those of all machines in turn, or that of one machine.
     *
     * @param target the machine, where it is one
     */
    boolean limitProcessors(String target, int choice, long durationUs) {
        var together = choice % QUOTA_VARIANTS == 0;
        var addresses =
                together || choice % QUOTA_VARIANTS == 1 ? cluster.addresses() : List.of(target);
        var pauseUs = SHORTEST_PAUSE_US + choice % (LONGEST_PAUSE_US - SHORTEST_PAUSE_US);
        for (var atUs = 0L; atUs < durationUs; atUs += QUOTA_PERIOD_US) {
            for (var i = 0; i < addresses.size(); i++) {
                var address = addresses.get(i);
                var shiftUs = together ? 0 : i * QUOTA_PERIOD_US / addresses.size();
                events.after(atUs + shiftUs, () -> pause(address, pauseUs));
            }
        }
        active.during(durationUs + QUOTA_PERIOD_US, () -> {}, () -> {});
        return true;
    }

    private void pause(String address, long pauseUs) {
        cluster.running(address)
                .filter(member -> !member.isFrozen())
                .ifPresent(member -> member.freeze(pauseUs));
    }

    boolean freeze(String address, long durationUs) {
        var member = cluster.running(address);
        member.ifPresent(
                frozen -> active.during(durationUs, () -> frozen.freeze(durationUs), () -> {}));
        return member.isPresent();
    }
}
