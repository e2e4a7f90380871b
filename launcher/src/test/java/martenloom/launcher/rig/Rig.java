package martenloom.launcher.rig;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import martenloom.common.error.ErrorCode;
import martenloom.common.error.MartenloomException;

/**
 * A measurement, not a test: real core daemons with real files, and hollow edges - the real edge
 * daemon over real loopback sockets, without clients - that share a few reactor threads, before
 * hollow replicas that only send heartbeats. It prints one line for each size: records and bytes by
 * role, processor time by role, heap, and how long a change of configuration takes until it is in
 * force at every edge. It starts nothing outside its own process and stops by itself.
 */
public final class Rig {
    private static final int FIRST_NETWORK = 100;
    private static final int FAILURE_EXIT = 1;
    private static final int USAGE_EXIT = 2;
    private static final int START_TIMEOUT_S = 60;
    private static final int READY_TIMEOUT_S = 20;
    private static final int SETTLE_MS = 4_000;
    private static final long HEARD_TIMEOUT_NS = 10_000_000_000L;
    private static final int HEARD_POLL_MS = 5;
    private static final long NS_PER_S = 1_000_000_000L;
    private static final long NS_PER_MS = 1_000_000;
    private static final double BYTES_PER_MB = 1e6;

    private final RigSize size;
    private final RigCluster cluster;
    private final List<Long> changeMs = new ArrayList<>();

    private Rig(RigSize size, RigCluster cluster) {
        this.size = size;
        this.cluster = cluster;
    }

    /** Runs the rig and ends with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /** Runs every size that the arguments name; gives the exit code. */
    static int run(String[] arguments) {
        try {
            var sizes = RigOptions.read(arguments);
            System.out.println(RigResult.header());
            var network = FIRST_NETWORK;
            for (var size : sizes) {
                System.out.println(measure(size, network++).line(size));
            }
            return 0;
        } catch (MartenloomException e) {
            System.err.println("rig: " + e.getMessage());
            return e.code() == ErrorCode.USAGE ? USAGE_EXIT : FAILURE_EXIT;
        } catch (IOException | InterruptedException e) {
            System.err.println("rig: " + e);
            return FAILURE_EXIT;
        }
    }

    /** Runs one size in a loopback network of its own. */
    static RigResult measure(RigSize size, int network) throws IOException, InterruptedException {
        try (var cluster = new RigCluster(size, network)) {
            cluster.start();
            cluster.awaitReady(START_TIMEOUT_S);
            return new Rig(size, cluster).measure();
        }
    }

    private RigResult measure() throws IOException, InterruptedException {
        Thread.sleep(SETTLE_MS);
        var before = ResourceUsage.now(cluster, size);
        changeWhileMeasured(before.atNs());
        var after = ResourceUsage.now(cluster, size);
        for (var i = 0; i < size.changes(); i++) {
            changeMs.add(cluster.changeConfiguration());
        }
        cluster.awaitReady(READY_TIMEOUT_S);
        awaitEveryEdgeHeard();
        return new RigResult(
                cluster.reach(),
                after.coreRates(before, size.cores()),
                after.busiestCoreCpu(before),
                after.edgeRates(before, size.edges()),
                heapMb(),
                RigConfiguration.of(size, 2).length(),
                changeMs,
                after.busiestTypes(before, size.cores()));
    }

    /**
     * What happens while the run is measured: changes of configuration at a pace, and edges that
     * join as replaced machines do.
     */
    private void changeWhileMeasured(long beganNs) throws IOException, InterruptedException {
        var durationNs = size.seconds() * NS_PER_S;
        var joined = 0;
        var dueNs = beganNs;
        while (System.nanoTime() < beganNs + durationNs) {
            if (joined < size.joins()
                    && System.nanoTime() - beganNs >= durationNs * joined / size.joins()) {
                cluster.addEdge();
                joined++;
            }
            if (size.paceMs() > 0 && System.nanoTime() >= dueNs) {
                dueNs += size.paceMs() * NS_PER_MS;
                changeMs.add(cluster.changeConfiguration());
            }
            Thread.sleep(1);
        }
    }

    private void awaitEveryEdgeHeard() throws InterruptedException {
        var end = System.nanoTime() + HEARD_TIMEOUT_NS;
        while (!cluster.isEveryEdgeHeard() && System.nanoTime() < end) {
            Thread.sleep(HEARD_POLL_MS);
        }
    }

    private static double heapMb() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MB;
    }
}
