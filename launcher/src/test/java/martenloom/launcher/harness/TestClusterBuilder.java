package martenloom.launcher.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import martenloom.autoscaler.ScalingSettings;

/**
 * Says what is special to the cluster of a test and starts it: three core daemons, no edges, no
 * replicas and the configuration of {@link TestConfiguration} with revision 3 unless said
 * otherwise. Not thread-safe.
 */
public final class TestClusterBuilder {
    /** The networks before these belong to tests whose recorded bytes name them. */
    private static final int FIRST_NETWORK = 110;

    private static final int USUAL_CORES = 3;
    private static final int USUAL_EDGE_MEMORY_MB = 512;
    private static final int USUAL_REVISION = 3;
    private static final int OK = 200;
    private static final AtomicInteger NEXT_NETWORK = new AtomicInteger(FIRST_NETWORK);

    private final Path dir;
    private final List<Replica> replicas = new ArrayList<>();
    private int cores = USUAL_CORES;
    private int edgeMemoryMb = USUAL_EDGE_MEMORY_MB;
    private int[] edges = {};
    private Optional<Integer> network = Optional.empty();
    private Optional<String> configuration = Optional.of(TestConfiguration.of(USUAL_REVISION));
    private ScalingSettings scaling = ScalingSettings.DEFAULT;

    private record Replica(String id, String service, int zone, int warmupMs, boolean reports) {}

    TestClusterBuilder(Path dir) {
        this.dir = dir;
    }

    /** So many core daemons. */
    public TestClusterBuilder cores(int count) {
        cores = count;
        return this;
    }

    /** These edges; edges whose numbers differ by three are in the same zone. */
    public TestClusterBuilder edges(int... numbers) {
        edges = numbers;
        return this;
    }

    /** Edges that may use so much memory. */
    public TestClusterBuilder edgeMemoryMb(int limitMb) {
        edgeMemoryMb = limitMb;
        return this;
    }

    /** A loopback network of a given number, for tests whose recorded bytes hold addresses. */
    public TestClusterBuilder network(int number) {
        network = Optional.of(number);
        return this;
    }

    /** A replica that reports ready. */
    public TestClusterBuilder replica(String id, String service, int zone) {
        replicas.add(new Replica(id, service, zone, 0, true));
        return this;
    }

    /** Replicas of one service in one zone that report ready. */
    public TestClusterBuilder replicas(String service, int zone, String... ids) {
        for (var id : ids) {
            replica(id, service, zone);
        }
        return this;
    }

    /** A replica whose heartbeats say that its warm-up takes so long yet. */
    public TestClusterBuilder warmingReplica(String id, String service, int zone, int warmupMs) {
        replicas.add(new Replica(id, service, zone, warmupMs, true));
        return this;
    }

    /** A replica that sends no heartbeats until the test resumes them. */
    public TestClusterBuilder silentReplica(String id, String service, int zone) {
        replicas.add(new Replica(id, service, zone, 0, false));
        return this;
    }

    /** The autoscaler's settings, as the command line takes them. */
    public TestClusterBuilder scaling(String settings) {
        scaling = ScalingSettings.parse(settings);
        return this;
    }

    /** These routes besides the usual ones. */
    public TestClusterBuilder routes(TestRoute... more) {
        return configuration(TestConfiguration.of(USUAL_REVISION, more));
    }

    /** Another first configuration. */
    public TestClusterBuilder configuration(String json) {
        configuration = Optional.of(json);
        return this;
    }

    /** No configuration is ordered, so no edge becomes ready until the test orders one. */
    public TestClusterBuilder withoutConfiguration() {
        configuration = Optional.empty();
        return this;
    }

    /** Starts everything and returns once the configuration is in force and the edges are ready. */
    public TestCluster start() {
        var number = network.orElseGet(NEXT_NETWORK::getAndIncrement);
        var cluster = new TestCluster(dir, number, cores, edgeMemoryMb, scaling);
        var started = false;
        try {
            startMembers(cluster);
            started = true;
            return cluster;
        } finally {
            if (!started) {
                cluster.close();
            }
        }
    }

    private void startMembers(TestCluster cluster) {
        for (var replica : replicas) {
            var added =
                    cluster.addReplica(replica.id, replica.service, replica.zone, replica.warmupMs);
            if (!replica.reports) {
                cluster.stopHeartbeats(added);
            }
        }
        cluster.startHeartbeats();
        for (var edge : edges) {
            cluster.startEdge(edge);
        }
        if (configuration.isPresent()) {
            assertEquals(OK, cluster.control().replaceConfiguration(0, configuration.get()));
            cluster.awaitReady(edges);
        }
    }
}
