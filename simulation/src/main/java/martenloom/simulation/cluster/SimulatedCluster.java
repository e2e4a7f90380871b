package martenloom.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import martenloom.simulation.engine.EventQueue;
import martenloom.simulation.engine.RandomStream;
import martenloom.simulation.history.InvariantChecker;
import martenloom.simulation.network.SimulatedNetwork;

/**
 * The machines of a cluster and the network between them. The cluster has a fixed number of slots,
 * each filled by one machine; a machine that was replaced runs on outside of them until it is
 * removed.
 */
public final class SimulatedCluster implements MemberEnvironment, MemberDirectory {
    private static final int FOUNDERS = 3;

    /** From this size on two machines may lose their state at once. */
    private static final int LARGE_CLUSTER = 9;

    private final EventQueue events;
    private final InvariantChecker invariants;
    private final RandomStream random;
    private final SimulatedNetwork network;
    private final Map<String, SimulatedMachine> machines = new TreeMap<>();

    /** The addresses of the machines in the slots. */
    private final List<String> slots = new ArrayList<>();

    private int replacements;

    /** A cluster of machines with empty disks on which nothing runs yet. */
    public SimulatedCluster(
            long seed, int members, EventQueue events, InvariantChecker invariants) {
        this.events = events;
        this.invariants = invariants;
        random = RandomStream.of(seed, "disks");
        network =
                new SimulatedNetwork(
                        events,
                        RandomStream.of(seed, "network"),
                        address -> running(address).map(member -> member));
        for (var i = 0; i < members; i++) {
            var address = "10.0.0." + (i + 1);
            slots.add(address);
            machines.put(address, new SimulatedMachine(address, random));
        }
    }

    /** Starts all machines with empty disks; the founders found the chain. */
    public void startAll() {
        machines.values().forEach(machine -> machine.start(this, true));
    }

    /** Whether one member heads a chain of all members. */
    public boolean isFullyGrown() {
        return machines.values().stream()
                .flatMap(machine -> machine.member().stream())
                .anyMatch(member -> member.headsAll(slots.size()));
    }

    public boolean isFullyRunning() {
        return slots.stream().allMatch(address -> running(address).isPresent());
    }

    /** How many machines may have lost their state at once. */
    public int toleratedLosses() {
        return Math.min((slots.size() - 1) / 2, slots.size() >= LARGE_CLUSTER ? 2 : 1);
    }

    // ---- machines and members

    @Override
    public List<String> addresses() {
        return slots;
    }

    /** The machine at an address, unless it was removed. */
    public Optional<SimulatedMachine> machine(String address) {
        return Optional.ofNullable(machines.get(address));
    }

    /** The member that runs at an address just now. */
    public Optional<SimulatedMember> running(String address) {
        return machine(address).flatMap(SimulatedMachine::member);
    }

    @Override
    public Optional<MemberApi> api(String address) {
        return running(address).map(member -> member);
    }

    /** The address of the first slot whose member takes itself for the head. */
    public Optional<String> headAddress() {
        return slots.stream().filter(this::isHead).findFirst();
    }

    private boolean isHead(String address) {
        return running(address).filter(member -> member.chain().isHead()).isPresent();
    }

    /** The highest number of a ballot that a running member has promised. */
    public long highestBallotNumber() {
        return slots.stream()
                .flatMap(address -> running(address).stream())
                .mapToLong(member -> member.chain().memberState().promised().number())
                .max()
                .orElse(0);
    }

    /** The running members of the slots, one after the other in words. */
    public String describe() {
        var text = new StringBuilder();
        slots.stream()
                .flatMap(address -> running(address).stream())
                .forEach(member -> text.append(member.describe()));
        return text.toString();
    }

    // ---- changes

    /** Starts a member on a machine that is there and has none. */
    public void startIfDown(String address) {
        machine(address)
                .filter(machine -> machine.member().isEmpty())
                .ifPresent(machine -> machine.start(this, false));
    }

    /** Fills a slot with a new machine, and starts it; the one before runs on outside. */
    public void replace(int slot) {
        var address = "10.0.1." + ++replacements;
        var machine = new SimulatedMachine(address, random);
        machines.put(address, machine);
        slots.set(slot, address);
        machine.start(this, false);
    }

    /** Takes a machine away for good, with its disk. */
    public void remove(String address) {
        Optional.ofNullable(machines.remove(address)).ifPresent(SimulatedMachine::kill);
    }

    // ---- what members are given

    @Override
    public EventQueue events() {
        return events;
    }

    @Override
    public SimulatedNetwork network() {
        return network;
    }

    @Override
    public RandomStream random() {
        return random;
    }

    @Override
    public InvariantChecker invariants() {
        return invariants;
    }

    @Override
    public List<String> seedAddresses() {
        return List.copyOf(slots.subList(0, FOUNDERS));
    }

    @Override
    public int minimumRosterSize() {
        return 2 * toleratedLosses() + 1;
    }
}
