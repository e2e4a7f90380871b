package martenloom.simulation;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** One simulated day: machines, network, callers, and the troubles of its schedule. */
final class World implements Environment, SimulatedNetwork.Machines, Callers.Directory {
    private static final long MONITOR_US = 100_000;
    private static final long WARM_UP_US = 60_000_000;

    /**
     * Once it is calm for so long, a configuration must have been acknowledged, and every member
     * must be level.
     */
    static final long CALM_BOUND_US = 6_000_000;

    /**
     * A machine that lost its state counts as lost until it was calm for so long after its return.
     */
    private static final long CATCH_UP_US = 4_000_000;

    private static final long LAG_US = 2_000_000;
    private static final int FOUNDERS = 3;
    private static final int LARGE = 9;

    private final Schedule schedule;
    private final long mostSteps;
    private final Agenda agenda = new Agenda();
    private final Invariants invariants = new Invariants();
    private final Randomness disks;
    private final SimulatedNetwork network;
    private final Callers callers;
    private final Map<String, Machine> machines = new TreeMap<>();
    private final List<String> slots = new ArrayList<>();
    private final List<ConfigurationOperator> operators = new ArrayList<>();
    private final Set<TroubleKind> broughtAbout = EnumSet.noneOf(TroubleKind.class);
    private final Troubles troubles;
    private final Set<String> lostState = new TreeSet<>();
    private long calmSinceUs;
    private long progressUs;
    private int progressSeen;
    private long newestBeforeLag;
    private long newestAtMark;
    private long markUs;
    private long steps;
    private int replacements;

    World(Schedule schedule, long mostSteps) {
        this.schedule = schedule;
        this.mostSteps = mostSteps;
        disks = Randomness.of(schedule.seed(), "disks");
        network = new SimulatedNetwork(agenda, Randomness.of(schedule.seed(), "network"), this);
        callers = new Callers(agenda, Randomness.of(schedule.seed(), "callers"), this);
        for (var i = 0; i < schedule.members(); i++) {
            slots.add("10.0.0." + (i + 1));
        }
        slots.forEach(a -> machines.put(a, new Machine(a, disks)));
        troubles = new Troubles(this);
    }

    // ---- the day

    void run() {
        machines.values().forEach(m -> m.start(this, true));
        startCallers();
        warmUp();
        var beganUs = agenda.nowUs();
        schedule.troubles().forEach(t -> agenda.at(beganUs + t.atMs() * 1000, () -> bringAbout(t)));
        agenda.every(MONITOR_US, this::monitor);
        runUntil(beganUs + schedule.endMs() * 1000 + 1);
        troubles.healAll();
        runUntil(agenda.nowUs() + 2 * CALM_BOUND_US);
    }

    private void startCallers() {
        var configurations = invariants.configurations();
        for (var name : List.of("a", "b")) {
            operators.add(
                    new ConfigurationOperator(
                            name,
                            callers,
                            agenda,
                            Randomness.of(schedule.seed(), "operator " + name),
                            configurations));
        }
        operators.forEach(ConfigurationOperator::start);
        for (var name : List.of("c", "d")) {
            var random = Randomness.of(schedule.seed(), "reader " + name);
            new ConfigurationReader(callers, agenda, random, configurations).start();
        }
        for (var zone : List.of("north-1", "south-1")) {
            new EvacuationOperator(
                            zone,
                            callers,
                            agenda,
                            Randomness.of(schedule.seed(), zone),
                            invariants.evacuations())
                    .start();
        }
        for (var holder : List.of("10.9.0.1#1", "10.9.0.2#1", "10.9.0.3#1")) {
            new LeaseCandidate(
                            "scale/north",
                            holder,
                            agenda,
                            Randomness.of(schedule.seed(), holder),
                            this,
                            invariants.leases())
                    .start();
        }
    }

    /** The core grows to all its members before the first trouble. */
    private void warmUp() {
        while (!grown()) {
            if (agenda.nowUs() > WARM_UP_US) {
                throw new Violation(
                        Invariant.PROGRESS,
                        "the core has not grown to all its members in a minute");
            }
            step(Long.MAX_VALUE);
        }
    }

    private boolean grown() {
        return machines.values().stream()
                .flatMap(m -> m.process().stream())
                .anyMatch(this::headsAll);
    }

    private boolean headsAll(Process process) {
        var chain = process.chain();
        return chain.isHead()
                && chain.chain().size() == schedule.members()
                && chain.committed().roster().members().size() == schedule.members();
    }

    private void runUntil(long timeUs) {
        while (step(timeUs)) {
            // Each step checks the invariants that it touches.
        }
    }

    private boolean step(long timeUs) {
        if (steps >= mostSteps) {
            return false;
        }
        steps++;
        return agenda.stepUntil(timeUs);
    }

    private void bringAbout(Trouble trouble) {
        if (troubles.bringAbout(trouble)) {
            broughtAbout.add(trouble.kind());
            calmSinceUs = agenda.nowUs();
        }
    }

    long steps() {
        return steps;
    }

    Set<TroubleKind> broughtAbout() {
        return broughtAbout;
    }

    // ---- calm, and what it must bring

    private void monitor() {
        var now = agenda.nowUs();
        var done = invariants.configurations().acknowledgements();
        if (done != progressSeen) {
            progressSeen = done;
            progressUs = now;
        }
        if (now - markUs > LAG_US) {
            newestBeforeLag = newestAtMark;
            newestAtMark = invariants.newestEdition();
            markUs = now;
        }
        if (!troubles.calm() || !allRunning()) {
            calmSinceUs = now;
            return;
        }
        if (now - calmSinceUs > CATCH_UP_US) {
            lostState.clear();
        }
        if (now - calmSinceUs > CALM_BOUND_US) {
            checkProgress(now);
            checkLevel();
        }
    }

    private boolean allRunning() {
        return slots.stream().allMatch(a -> running(a).isPresent());
    }

    private void checkProgress(long now) {
        if (now - progressUs > CALM_BOUND_US) {
            throw new Violation(
                    Invariant.PROGRESS,
                    "calm for "
                            + (now - calmSinceUs) / 1000
                            + " ms, and nothing was acknowledged for "
                            + (now - progressUs) / 1000
                            + " ms: "
                            + describe());
        }
    }

    private void checkLevel() {
        for (var address : slots) {
            var edition = running(address).map(p -> p.chain().committed().edition()).orElse(0L);
            if (edition < newestBeforeLag) {
                throw new Violation(
                        Invariant.LEVEL,
                        address
                                + " is at edition "
                                + edition
                                + ", the core was at "
                                + newestBeforeLag
                                + " two seconds before: "
                                + describe());
            }
        }
    }

    private String describe() {
        var text = new StringBuilder();
        slots.stream()
                .flatMap(a -> running(a).stream())
                .forEach(
                        p ->
                                text.append(p.address())
                                        .append(' ')
                                        .append(p.chain().role())
                                        .append(" view ")
                                        .append(p.chain().view())
                                        .append(" edition ")
                                        .append(p.chain().committed().edition())
                                        .append(" roster ")
                                        .append(p.chain().memberState().state().roster().members())
                                        .append("; "));
        return text.toString();
    }

    // ---- losses that are to be borne

    /** How many machines may have lost their state at once. */
    int tolerated() {
        return Math.min((schedule.members() - 1) / 2, schedule.members() >= LARGE ? 2 : 1);
    }

    /** Counts a machine as lost; refuses when that is one more than is to be borne. */
    boolean loseState(String address) {
        var others = lostState.stream().filter(a -> !a.equals(address)).count();
        if (others >= tolerated()) {
            return false;
        }
        lostState.add(address);
        calmSinceUs = agenda.nowUs();
        return true;
    }

    /** Counts a machine as lost that leaves in order, so that no other one is lost beside it. */
    void leaveInOrder(String address) {
        lostState.add(address);
        calmSinceUs = agenda.nowUs();
    }

    // ---- machines

    List<String> slots() {
        return slots;
    }

    /** The machine of the present head, if it is one of those that count. */
    Optional<String> head() {
        return slots.stream().filter(this::heads).findFirst();
    }

    private boolean heads(String address) {
        return running(address).filter(p -> p.chain().isHead()).isPresent();
    }

    Machine machine(String address) {
        return machines.get(address);
    }

    Optional<Machine> machineIfPresent(String address) {
        return Optional.ofNullable(machines.get(address));
    }

    /**
     * A new machine takes the place of another among those that count; the other one runs on until
     * it is removed.
     */
    String replace(int slot) {
        var address = "10.0.1." + ++replacements;
        var machine = new Machine(address, disks);
        machines.put(address, machine);
        slots.set(slot, address);
        machine.start(this, false);
        return address;
    }

    /** A machine is gone for good, with its disk. */
    void remove(String address) {
        Optional.ofNullable(machines.remove(address)).ifPresent(Machine::kill);
    }

    void storm(int operator, int count) {
        operators.get(operator % operators.size()).storm(count);
    }

    Callers callers() {
        return callers;
    }

    // ---- what processes, the network and callers see

    @Override
    public Agenda agenda() {
        return agenda;
    }

    @Override
    public SimulatedNetwork network() {
        return network;
    }

    @Override
    public Randomness disks() {
        return disks;
    }

    @Override
    public Invariants invariants() {
        return invariants;
    }

    @Override
    public List<String> seeds() {
        return List.copyOf(slots.subList(0, FOUNDERS));
    }

    @Override
    public int leastRoster() {
        return 2 * tolerated() + 1;
    }

    @Override
    public List<String> addresses() {
        return slots;
    }

    @Override
    public Optional<Process> running(String address) {
        return Optional.ofNullable(machines.get(address)).flatMap(Machine::process);
    }

    @Override
    public void connected(Process dialer, String listener) {
        dialer.whenAwake(listener, () -> dialer.onConnected(listener));
    }

    @Override
    public void deliver(Process to, SimulatedNetwork.Connection by, byte[] record) {
        to.whenAwake(by, () -> to.onRecord(by, record));
    }
}
