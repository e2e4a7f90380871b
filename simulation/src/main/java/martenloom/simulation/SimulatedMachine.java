package martenloom.simulation;

import java.util.Optional;

/** A machine that counts: its disk, and the process that runs on it. */
final class SimulatedMachine {
    private static final long QUICK_SYNC_US = 6_000;
    private static final long SLOW_SYNC_US = 120_000;

    private final String address;
    private final RandomStream random;
    private final SimulatedDisk disk;
    private Optional<SimulatedMember> process = Optional.empty();
    private long stalledUntilUs;

    SimulatedMachine(String address, RandomStream random) {
        this.address = address;
        this.random = random;
        disk = new SimulatedDisk(random);
    }

    String address() {
        return address;
    }

    SimulatedDisk disk() {
        return disk;
    }

    Optional<SimulatedMember> process() {
        return process;
    }

    void start(MemberEnvironment environment, boolean bootstrap) {
        disk.restart();
        process = Optional.of(new SimulatedMember(this, environment, bootstrap));
    }

    /** Ends the process; tells whether there was one. */
    boolean kill() {
        var was = process;
        process = Optional.empty();
        was.ifPresent(p -> p.end(random));
        return was.isPresent();
    }

    void stall(long untilUs) {
        stalledUntilUs = Math.max(stalledUntilUs, untilUs);
    }

    long stalledUntilUs() {
        return stalledUntilUs;
    }

    /** How long the next write takes. */
    long syncUs() {
        return random.oneIn(60)
                ? random.between(QUICK_SYNC_US, SLOW_SYNC_US)
                : random.between(300, QUICK_SYNC_US);
    }
}
