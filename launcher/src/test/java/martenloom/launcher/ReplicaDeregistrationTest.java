package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replicas that drain or are deregistered: what the daemons acknowledge and the edges do. */
final class ReplicaDeregistrationTest {
    /** Thawed members agree on a view again and prove it within this time. */
    private static final long BACK_IN_CONTACT_NS = 10_000_000_000L;

    private static final int CORES = 3;
    private static final int EDGES = 2;
    private static final int MOST_QUERIES = 200;
    private static final int REQUESTS = 10;

    @TempDir private Path dir;

    @Test
    void aDrainingReplicaGetsNoFurtherRequestAndALateHeartbeatIsDropped() {
        try (var cluster =
                TestCluster.in(dir)
                        .replicas("plain", 0, "i-a", "i-b")
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start()) {
            var draining = cluster.replica("i-a");
            cluster.stopHeartbeats(draining);
            var late = draining.nextHeartbeat("ready", 0);
            assertEquals(200, cluster.sendHeartbeat(draining, "draining"));
            cluster.askUntil(cluster.edge(0), "replicas", "draining");
            cluster.control().post(0, "/instances/i-a/heartbeat", late);
            for (var i = 0; i < REQUESTS; i++) {
                assertEquals("seal-i-b", cluster.request(0, "/safe/x", "d" + i).seal());
            }
            assertTrue(
                    cluster.ask(cluster.core(0), "replicas")
                            .contains("i-a plain " + draining.address() + " north-a draining"));
            assertEquals(0, cluster.replica("i-b").executions("none"));
        }
    }

    @Test
    void aDeregisteredReplicaGetsNoFurtherRequestFromAnyEdge() {
        try (var cluster =
                TestCluster.in(dir)
                        .replicas("plain", 0, "i-a", "i-b")
                        .replica("i-m", "model", 0)
                        .edges(0, 1)
                        .start()) {
            var control = cluster.control();
            var leaving = cluster.replica("i-a");
            cluster.stopHeartbeats(leaving);
            assertEquals(200, control.post(0, "/instances/i-a/deregister").status());
            assertEquals(200, control.post(1, "/instances/i-unknown/deregister").status());
            for (var core = 0; core < CORES; core++) {
                assertTrue(
                        cluster.askUntil(cluster.core(core), "replicas", "i-unknown")
                                .matches("(?s).*i-a plain \\S+ \\S+ gone.*i-unknown\\s+gone.*"),
                        cluster.ask(cluster.core(core), "replicas"));
                var late = leaving.nextHeartbeat("ready", 0);
                control.post(core, "/instances/i-a/heartbeat", late);
                control.post(core, "/instances/i-unknown/heartbeat", late);
            }
            for (var edge = 0; edge < EDGES; edge++) {
                var known = cluster.ask(cluster.edge(edge), "replicas");
                for (var i = 0; i < MOST_QUERIES && known.contains("i-a "); i++) {
                    known = cluster.ask(cluster.edge(edge), "replicas");
                }
                assertFalse(known.contains("i-a ") || known.contains("i-unknown"), known);
                assertEquals("seal-i-b", cluster.request(edge, "/safe/x", "g" + edge).seal());
            }
            cluster.kill(cluster.core(2));
            cluster.startCore(2);
            assertTrue(
                    cluster.askUntil(cluster.core(2), "replicas", "i-unknown")
                            .contains("i-unknown"),
                    "known again after a restart");
        }
    }

    @Test
    void aDaemonThatReachesNoMajorityAcknowledgesNoDrain() {
        try (var cluster = TestCluster.in(dir).silentReplica("i-a", "plain", 0).start()) {
            var control = cluster.control();
            var leaving = cluster.replica("i-a");
            assertEquals(200, cluster.sendHeartbeat(leaving, "ready"));
            cluster.assertShown(cluster.core(0), "chain", "head 127");
            cluster.freeze(cluster.core(1));
            cluster.freeze(cluster.core(2));
            assertEquals(503, control.heartbeat(0, leaving, "draining"), "nobody else knows of it");
            assertEquals(503, control.post(0, "/instances/i-a/deregister").status());
            cluster.thaw(cluster.core(1));
            cluster.thaw(cluster.core(2));
            var status = 503;
            var end = System.nanoTime() + BACK_IN_CONTACT_NS;
            while (status == 503 && System.nanoTime() < end) {
                status = control.heartbeat(0, leaving, "draining");
            }
            assertEquals(200, status);
            assertTrue(
                    cluster.ask(cluster.core(1), "replicas").contains("gone")
                            || cluster.ask(cluster.core(2), "replicas").contains("gone"));
        }
    }
}
