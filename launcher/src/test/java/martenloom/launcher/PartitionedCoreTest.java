package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.regex.Pattern;
import martenloom.launcher.harness.ShellAnswers;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A core daemon without contact to a majority: which heartbeats it takes, and what the edges do
 * that have their home there.
 */
final class PartitionedCoreTest {
    private static final Pattern STALE_MS = Pattern.compile("stale (\\d+) ms");
    private static final long LONG_STALE_MS = 2_000;
    private static final int LONG_HEARTBEATS = 15;
    private static final int MOST_ATTEMPTS = 2_000;
    private static final int MORE_REQUESTS = 20;

    @TempDir private Path dir;

    private static Pattern readySequence(String replica) {
        return Pattern.compile(replica + " .* ready seq (\\d+) ");
    }

    @Test
    void replicasOfAPartitionedDaemonReportElsewhereAndServeWhileAnotherZoneIsEvacuated() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-near", "plain", 0)
                        .replica("i-evacuated", "plain", 1)
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start()) {
            cluster.kill(cluster.core(0));
            cluster.startPartitionedCore(0);
            assertEquals(200, cluster.control().postUntilSettled("/evacuations/south-b/start"));
            var atPartition = cluster.replica("i-near").heartbeatSequence() + 3;
            var sequence = readySequence("i-near");
            var heard =
                    cluster.askUntil(
                            cluster.core(1),
                            "replicas",
                            answer -> ShellAnswers.number(sequence, answer) > atPartition);
            assertTrue(
                    ShellAnswers.number(sequence, heard) > atPartition,
                    "heartbeats go on to a daemon in contact: " + heard);
            cluster.askUntil(cluster.edge(0), "replicas", "i-near");
            var status = 0;
            for (var i = 0; i < MOST_ATTEMPTS && status != 200; i++) {
                status = cluster.request(0, "/safe/x", "first" + i).status();
            }
            assertEquals(200, status);
            for (var i = 0; i < MORE_REQUESTS; i++) {
                assertEquals(200, cluster.request(0, "/safe/x", "later" + i).status());
                assertEquals(0, cluster.replica("i-evacuated").executions("later" + i));
            }
            assertNotEquals(
                    200,
                    cluster.control().post(0, "/instances/i-near/deregister").status(),
                    "what nobody would learn is not acknowledged");
        }
    }

    @Test
    void theEdgesOfAPartitionedZoneKeepTheirHomeAndHearOfNewReplicas() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-first", "plain", 0)
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start()) {
            cluster.kill(cluster.core(1));
            cluster.kill(cluster.core(2));
            cluster.assertShown(cluster.edge(0), "home", cluster.core(0) + " ");
            var later = cluster.replica("i-first").heartbeatSequence() + LONG_HEARTBEATS;
            var sequence = readySequence("i-first");
            var heard =
                    cluster.askUntil(
                            cluster.core(0),
                            "replicas",
                            answer -> {
                                var home = cluster.ask(cluster.edge(0), "home");
                                assertTrue(
                                        home.startsWith(cluster.core(0) + " "),
                                        "no better home is known");
                                return ShellAnswers.number(sequence, answer) > later;
                            });
            assertTrue(
                    ShellAnswers.number(sequence, heard) > later,
                    "an edge relies on this daemon, so it takes heartbeats: " + heard);
            var view = cluster.ask(cluster.core(0), "chain");
            assertTrue(ShellAnswers.number(STALE_MS, view) >= LONG_STALE_MS, view);
            cluster.addReplica("i-late", "plain", 0);
            cluster.assertShown(cluster.edge(0), "replicas", "i-late");
            assertEquals(200, cluster.request(0, "/safe/x", "served").status());
        }
    }
}
