package martenloom.simulation.faults;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import martenloom.simulation.cluster.SimulatedCluster;
import martenloom.simulation.cluster.SimulatedMachine;
import martenloom.simulation.schedule.ScheduledFault;

/** Brings the troubles of a schedule about, and ends them. */
public final class FaultInjector {
    private static final long SHORTEST_DOWN_US = 100_000;
    private static final double LOSS = 0.2;
    private static final double DUPLICATES = 0.1;
    private static final long SETTLED_US = 1_000_000;
    private static final long BETWEEN_REPLACEMENTS_US = 6_000_000;
    private static final long GRACE_US = 8_000_000;
    private static final int HEAD_EVERY = 3;

    /** Long enough for the others to go on without those that are cut off. */
    private static final long BEHIND_US = 3_000_000;

    private static final int APART_STEPS = 5;
    private static final long APART_US = 1_000_000;
    private static final int STORM_LEAST = 20;
    private static final int STORM_SPREAD = 80;

    private record Cut(String from, String to) {}

    private final SimulatedCluster world;

    /** FaultInjector that are not over, each with what ends it. */
    private final Set<Object> active = new HashSet<>();

    public FaultInjector(SimulatedCluster world) {
        this.world = world;
    }

    public boolean calm() {
        return active.isEmpty();
    }

    /** Ends what can be ended; machines that are down come back by themselves. */
    public void healAll() {
        world.network().healAll();
        world.network().setLoss(0);
        world.network().setDuplicates(0);
        world.network().setSlow(false);
        world.callers().setLossy(false);
    }

    /** Tells whether it was brought about: what goes beyond the losses to be borne is left out. */
    public boolean bringAbout(ScheduledFault trouble) {
        var address = target(trouble);
        var lastsUs = trouble.lastsMs() * 1000;
        return switch (trouble.kind()) {
            case KILL -> kill(address, lastsUs, Loss.NOTHING);
            case KILL_ALL -> all(lastsUs, Loss.NOTHING, trouble.choice());
            case POWER_LOSS -> kill(address, lastsUs, Loss.UNSYNCED);
            case POWER_LOSS_ALL -> all(lastsUs, Loss.UNSYNCED, trouble.choice());
            case WIPE -> world.loseState(address) && kill(address, lastsUs, Loss.DISK);
            case WIPE_AND_POWER_LOSS -> wipeAndPowerLoss(trouble, lastsUs);
            case SECOND_LOSS -> secondLoss(trouble, lastsUs);
            case TORN_NEWEST_FILE ->
                    world.loseState(address) && kill(address, lastsUs, Loss.NEWEST_FILE);
            case CUT_TOTAL, CUT_LONG -> cut(isolating(address, true, true), lastsUs);
            case CUT_ONE_WAY ->
                    cut(
                            isolating(
                                    address, trouble.choice() % 2 == 0, trouble.choice() % 2 != 0),
                            lastsUs);
            case CUT_BRIDGE -> cut(bridge(trouble), lastsUs);
            case CUT_PAIR -> cut(pair(trouble), lastsUs);
            case RESET -> reset(address);
            case MESSAGE_LOSS ->
                    during(
                            lastsUs,
                            () -> world.network().setLoss(LOSS),
                            () -> world.network().setLoss(0));
            case DUPLICATES ->
                    during(
                            lastsUs,
                            () -> world.network().setDuplicates(DUPLICATES),
                            () -> world.network().setDuplicates(0));
            case SLOW_NETWORK ->
                    during(
                            lastsUs,
                            () -> world.network().setSlow(true),
                            () -> world.network().setSlow(false));
            case ANSWERS_LOST ->
                    during(
                            lastsUs,
                            () -> world.callers().setLossy(true),
                            () -> world.callers().setLossy(false));
            case DISK_STALL -> stall(address, lastsUs);
            case DISK_FULL -> full(address, lastsUs);
            case FREEZE -> freeze(address, lastsUs);
            case RESTART -> restart(address, lastsUs);
            case REPLACE_PLANNED -> replacePlanned(trouble.slot(), lastsUs);
            case REPLACE_UNPLANNED -> replaceUnplanned(trouble.slot());
            case REPLACE_TWICE -> replaceTwice(trouble);
            case CHANGE_STORM -> storm(trouble);
        };
    }

    /** The machine that is hit: every third time the present head, if there is one. */
    private String target(ScheduledFault trouble) {
        var slot = world.slots().get(trouble.slot());
        return trouble.choice() % HEAD_EVERY == 0 ? world.head().orElse(slot) : slot;
    }

    // ---- processes and disks

    private enum Loss {
        NOTHING,
        UNSYNCED,
        NEWEST_FILE,
        DISK
    }

    private boolean kill(String address, long downUs, Loss loss) {
        var machine = world.machineIfPresent(address);
        if (machine.isEmpty() || !machine.get().kill() && loss == Loss.NOTHING) {
            return false;
        }
        lose(machine.get(), loss);
        return during(Math.max(SHORTEST_DOWN_US, downUs), () -> {}, () -> start(address));
    }

    private static void lose(SimulatedMachine machine, Loss loss) {
        switch (loss) {
            case NOTHING -> {}
            case UNSYNCED -> machine.disk().losePower();
            case NEWEST_FILE -> {
                machine.disk().losePower();
                machine.disk().tearNewest();
            }
            case DISK -> machine.disk().wipe();
        }
    }

    private void start(String address) {
        world.machineIfPresent(address)
                .filter(m -> m.process().isEmpty())
                .ifPresent(m -> m.start(world, false));
    }

    /** Hits all machines at once; they come back together or, for odd choices, seconds apart. */
    private boolean all(long downUs, Loss loss, int choice) {
        return hit(world.slots(), downUs, choice, address -> loss);
    }

    private boolean hit(
            List<String> addresses, long downUs, int choice, Function<String, Loss> losses) {
        var done = false;
        for (var i = 0; i < addresses.size(); i++) {
            var laterUs = choice % 2 == 0 ? 0 : (choice >> i) % APART_STEPS * APART_US;
            var address = addresses.get(i);
            done |= kill(address, downUs + laterUs, losses.apply(address));
        }
        return done;
    }

    /** The closing fault: disks are lost, or their newest files torn, as all others lose power. */
    private boolean wipeAndPowerLoss(ScheduledFault trouble, long downUs) {
        var lost = new HashSet<String>();
        for (var i = 0; i < world.tolerated(); i++) {
            var address = world.slots().get((trouble.slot() + i) % world.slots().size());
            if (world.loseState(address)) {
                lost.add(address);
            }
        }
        var worst = trouble.choice() % 3 == 0 ? Loss.NEWEST_FILE : Loss.DISK;
        Function<String, Loss> losses = a -> lost.contains(a) ? worst : Loss.UNSYNCED;
        hit(world.slots(), downUs, trouble.choice(), losses);
        return !lost.isEmpty();
    }

    private boolean secondLoss(ScheduledFault trouble, long us) {
        var order = new ArrayList<>(world.slots());
        Collections.rotate(order, trouble.slot());
        var minority = (order.size() - 1) / 2;
        var behind = order.subList(0, minority);
        var others = order.subList(minority, order.size());
        var cutUs = Math.max(BEHIND_US, us);
        cut(between(behind, others), cutUs);
        var loss = trouble.choice() % 2 == 0 ? Loss.DISK : Loss.NEWEST_FILE;
        var awayUs = (1 + trouble.choice() % APART_STEPS) * APART_US;
        world.agenda().after(cutUs, () -> loseAndStop(others, loss, awayUs));
        return true;
    }

    /**
     * The first ones lose their state, for as long as that is to be borne; the others stay away.
     */
    private void loseAndStop(List<String> addresses, Loss loss, long awayUs) {
        for (var address : addresses) {
            if (world.machineIfPresent(address).isPresent() && world.loseState(address)) {
                kill(address, SHORTEST_DOWN_US, loss);
            } else {
                kill(address, awayUs, Loss.NOTHING);
            }
        }
    }

    private boolean stall(String address, long us) {
        return during(
                us, () -> world.machine(address).stall(world.agenda().nowUs() + us), () -> {});
    }

    private boolean full(String address, long us) {
        var disk = world.machine(address).disk();
        return during(us, () -> disk.setFull(true), () -> disk.setFull(false));
    }

    private boolean freeze(String address, long us) {
        var process = world.running(address);
        return process.isPresent() && during(us, () -> process.get().freeze(us), () -> {});
    }

    // ---- the network

    private List<Cut> isolating(String address, boolean outward, boolean inward) {
        var cuts = new ArrayList<Cut>();
        for (var other : world.slots()) {
            if (!other.equals(address) && outward) {
                cuts.add(new Cut(address, other));
            }
            if (!other.equals(address) && inward) {
                cuts.add(new Cut(other, address));
            }
        }
        return cuts;
    }

    /** Two halves that hear one another only through the machine that is hit. */
    private List<Cut> bridge(ScheduledFault trouble) {
        var rest = new ArrayList<>(world.slots());
        rest.remove(trouble.slot());
        var half = rest.size() / 2;
        return between(rest.subList(0, half), rest.subList(half, rest.size()));
    }

    private static List<Cut> between(List<String> ones, List<String> others) {
        var cuts = new ArrayList<Cut>();
        for (var a : ones) {
            for (var b : others) {
                cuts.add(new Cut(a, b));
                cuts.add(new Cut(b, a));
            }
        }
        return cuts;
    }

    private List<Cut> pair(ScheduledFault trouble) {
        var slots = world.slots();
        var a = slots.get(trouble.slot());
        var b =
                slots.get(
                        (trouble.slot() + 1 + trouble.choice() % (slots.size() - 1))
                                % slots.size());
        return List.of(new Cut(a, b), new Cut(b, a));
    }

    private boolean cut(List<Cut> cuts, long us) {
        return during(
                us,
                () -> cuts.forEach(c -> world.network().cut(c.from, c.to)),
                () -> cuts.forEach(c -> world.network().heal(c.from, c.to)));
    }

    private boolean reset(String address) {
        world.network().reset(address);
        return true;
    }

    // ---- replacements

    /** The new machine starts first; some time later the old one leaves. */
    private boolean replacePlanned(int slot, long us) {
        var old = world.slots().get(slot);
        if (!world.loseState(old)) {
            return false;
        }
        world.replace(slot);
        return during(SETTLED_US + us, () -> {}, () -> leave(old, () -> world.remove(old)));
    }

    /**
     * An orderly end of the process; what comes after it comes at the end of the grace period at
     * the latest.
     */
    private void leave(String address, Runnable then) {
        var process = world.running(address);
        var key = new Object();
        active.add(key);
        var end =
                once(
                        () -> {
                            active.remove(key);
                            then.run();
                        });
        world.agenda().after(GRACE_US, end);
        process.ifPresentOrElse(p -> p.whenAwake(end, () -> p.leave(end)), end);
    }

    private static Runnable once(Runnable action) {
        var left = new ArrayList<>(List.of(action));
        return () -> {
            if (!left.isEmpty()) {
                left.remove(0).run();
            }
        };
    }

    /** An orderly end, and a start on the same disk. */
    private boolean restart(String address, long us) {
        if (world.running(address).isEmpty()) {
            return false;
        }
        world.leaveInOrder(address);
        leave(address, () -> kill(address, us, Loss.NOTHING));
        return true;
    }

    private boolean replaceUnplanned(int slot) {
        var old = world.slots().get(slot);
        if (!world.loseState(old)) {
            return false;
        }
        world.remove(old);
        world.replace(slot);
        return true;
    }

    private boolean replaceTwice(ScheduledFault trouble) {
        if (!replacePlanned(trouble.slot(), trouble.lastsMs() * 1000)) {
            return false;
        }
        var next = (trouble.slot() + 1) % world.slots().size();
        world.agenda()
                .after(
                        BETWEEN_REPLACEMENTS_US + trouble.lastsMs() * 1000,
                        () -> replacePlanned(next, trouble.lastsMs() * 1000));
        return true;
    }

    private boolean storm(ScheduledFault trouble) {
        world.storm(trouble.slot(), STORM_LEAST + trouble.choice() % STORM_SPREAD);
        return true;
    }

    /** A trouble with an end, which counts as active until then. */
    private boolean during(long us, Runnable begin, Runnable end) {
        var key = new Object();
        active.add(key);
        begin.run();
        world.agenda()
                .after(
                        us,
                        () -> {
                            active.remove(key);
                            end.run();
                        });
        return true;
    }
}
