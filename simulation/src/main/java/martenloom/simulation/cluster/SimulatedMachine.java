package martenloom.simulation.cluster;

import java.util.Optional;
import martenloom.simulation.disk.SimulatedDisk;
import martenloom.simulation.engine.RandomStream;

/** A machine of the cluster: its disk, and the member that runs on it, if one does. */
public final class SimulatedMachine {
    private static final int SLOW_SYNC_ONE_IN = 60;
    private static final long SHORTEST_SYNC_US = 300;
    private static final long USUAL_SYNC_US = 6_000;
    private static final long SLOW_SYNC_US = 120_000;

    private final String address;
    private final RandomStream random;
    private final SimulatedDisk disk;
    private Optional<SimulatedMember> member = Optional.empty();
    private long diskStalledUntilUs;

    SimulatedMachine(String address, RandomStream random) {
        this.address = address;
        this.random = random;
        disk = new SimulatedDisk(random);
    }

    String address() {
        return address;
    }

    public SimulatedDisk disk() {
        return disk;
    }

    /** The member that runs on the machine. */
    public Optional<SimulatedMember> member() {
        return member;
    }

    /** Starts a member on the disk as it is. */
    void start(MemberEnvironment environment, boolean bootstrap) {
        disk.onProcessStart();
        member = Optional.of(new SimulatedMember(this, environment, bootstrap));
    }

    /** Ends the member at once; returns whether one was running. */
    public boolean kill() {
        var killed = member;
        member = Optional.empty();
        killed.ifPresent(running -> running.end(random));
        return killed.isPresent();
    }

    /** Lets no write finish before the given time. */
    public void stallDisk(long untilUs) {
        diskStalledUntilUs = Math.max(diskStalledUntilUs, untilUs);
    }

    long diskStalledUntilUs() {
        return diskStalledUntilUs;
    }

    /** How long the next write takes. */
    long drawSyncUs() {
        return random.oneIn(SLOW_SYNC_ONE_IN)
                ? random.between(USUAL_SYNC_US, SLOW_SYNC_US)
                : random.between(SHORTEST_SYNC_US, USUAL_SYNC_US);
    }
}
