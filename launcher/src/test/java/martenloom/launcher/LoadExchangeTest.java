package martenloom.launcher;

import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Edges know each other's load by way of their homes, also when a home is lost or comes back and
 * their streams begin anew.
 */
final class LoadExchangeTest {
    private static final String ONE_ELSEWHERE = "i-m model north-a in-hand 0 others 1 ";
    private static final String NOTHING_ELSEWHERE = "i-m model north-a in-hand 0 others 0 ";

    private final ExecutorService clients = Executors.newCachedThreadPool();

    @TempDir private Path dir;

    @AfterEach
    void stopClients() {
        clients.shutdownNow();
    }

    private TestCluster start() {
        var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-m", "model", 0)
                        .edges(0, 1)
                        .start();
        cluster.replica("i-m").fault(ReplicaFault.SILENT);
        return cluster;
    }

    private void leaveOneInFlight(TestCluster cluster, String attempt) {
        clients.execute(() -> cluster.prompt(0, "/o/stream", attempt));
        cluster.assertShown(cluster.edge(0), "replicas", "i-m model north-a in-hand 1 others 0 ");
    }

    @Test
    void theLoadOfAnEdgeIsKnownInAnotherRegionUntilItEnds() {
        try (var cluster = start()) {
            leaveOneInFlight(cluster, "load1");
            cluster.assertShown(cluster.edge(1), "replicas", ONE_ELSEWHERE);
            cluster.kill(cluster.edge(0));
            cluster.assertShown(cluster.edge(1), "replicas", NOTHING_ELSEWHERE);
        }
    }

    @Test
    void anEdgeThatLosesItsHomeLearnsTheLoadFromTheNext() {
        try (var cluster = start()) {
            cluster.kill(cluster.core(1));
            leaveOneInFlight(cluster, "load2");
            cluster.assertShown(cluster.edge(1), "replicas", ONE_ELSEWHERE);
        }
    }

    @Test
    void aHomeThatComesBackTakesUpTheStreamsOfTheOthers() {
        try (var cluster = start()) {
            cluster.kill(cluster.core(0));
            cluster.startCore(0);
            leaveOneInFlight(cluster, "load3");
            cluster.assertShown(cluster.edge(1), "replicas", ONE_ELSEWHERE);
        }
    }
}
