package martenloom.simulation.cluster;

import java.util.Optional;
import martenloom.simulation.disk.SimulatedDisk;
import martenloom.simulation.engine.RandomStream;

/** A machine that counts: its disk, and the process that runs on it. */
public final class SimulatedMachine {
    private static final long QUICK_SYNC_US = 6_000;
    private static final long SLOW_SYNC_US = 120_000;

    private final String address;
    private final RandomStream random;
    private final SimulatedDisk disk;
    private Optional<SimulatedMember> process = Optional.empty();
    private long stalledUntilUs;

    public SimulatedMachine(String address, RandomStream random) {
        this.address = address;
        this.random = random;
        disk = new SimulatedDisk(random);
    }

    public String address() {
        return address;
    }

    public SimulatedDisk disk() {
        return disk;
    }

    public Optional<SimulatedMember> process() {
        return process;
    }

    public void start(MemberEnvironment environment, boolean bootstrap) {
        disk.restart();
        process = Optional.of(new SimulatedMember(this, environment, bootstrap));
    }

    /** Ends the process; tells whether there was one. */
    public boolean kill() {
        var was = process;
        process = Optional.empty();
        was.ifPresent(p -> p.end(random));
        return was.isPresent();
    }

    public void stall(long untilUs) {
        stalledUntilUs = Math.max(stalledUntilUs, untilUs);
    }

    public long stalledUntilUs() {
        return stalledUntilUs;
    }

    /** How long the next write takes. */
    public long syncUs() {
        return random.oneIn(60)
                ? random.between(QUICK_SYNC_US, SLOW_SYNC_US)
                : random.between(300, QUICK_SYNC_US);
    }
}
