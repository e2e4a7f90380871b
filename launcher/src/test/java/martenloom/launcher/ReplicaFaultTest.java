package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import martenloom.launcher.harness.ReplicaFault;
import martenloom.launcher.harness.StandInReplica;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Replicas that fail some requests while they report that they are ready, that drop idle
 * connections, or that refuse twice.
 */
final class ReplicaFaultTest {
    private static final int WARM_REQUESTS = 20;
    private static final int FAILING_REQUESTS = 40;
    private static final int LEAST_FAILURES = 3;
    private static final int MOST_FAILURES = 12;
    private static final int RETURN_ATTEMPTS = 20_000;
    private static final int ALL_FAILING_REQUESTS = 30;
    private static final int DROPPED_REQUESTS = 10;
    private static final int REFUSED_REQUESTS = 5;

    @TempDir private Path dir;

    @Test
    void aReplicaThatFailsSomeRequestsIsEjectedByRealResponsesAndComesBack() {
        try (var cluster =
                TestCluster.in(dir)
                        .replicas("plain", 0, "i-a", "i-b", "i-c")
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start()) {
            var all =
                    List.of(cluster.replica("i-a"), cluster.replica("i-b"), cluster.replica("i-c"));
            cluster.askUntil(cluster.edge(0), "replicas", "i-c");
            for (var i = 0; i < WARM_REQUESTS; i++) {
                assertEquals(200, cluster.request(0, "/safe/x", "w" + i).status());
            }
            var unhealthy =
                    all.stream()
                            .max(Comparator.comparingInt(StandInReplica::totalExecutions))
                            .orElseThrow();
            assertEjected(cluster, unhealthy);
            assertComesBack(cluster, all, unhealthy);
            for (var replica : all) {
                replica.fault(ReplicaFault.SERVER_ERROR);
                replica.failOnly(attempt -> attempt.startsWith("all"));
            }
            for (var i = 0; i < ALL_FAILING_REQUESTS; i++) {
                cluster.request(0, "/once/x", "all" + i);
            }
            assertEquals(
                    ALL_FAILING_REQUESTS,
                    all.stream().mapToInt(replica -> replica.attempts("all")).sum(),
                    "never are all of them ejected");
        }
    }

    private static void assertEjected(TestCluster cluster, StandInReplica unhealthy) {
        unhealthy.fault(ReplicaFault.SERVER_ERROR);
        unhealthy.failOnly(attempt -> attempt.startsWith("some"));
        var failed = 0;
        for (var i = 0; i < FAILING_REQUESTS; i++) {
            failed += cluster.request(0, "/once/x", "some" + i).status() == 200 ? 0 : 1;
        }
        assertTrue(
                failed >= LEAST_FAILURES && failed < MOST_FAILURES,
                failed + " of 40 failed before it was ejected");
        assertTrue(
                cluster.ask(cluster.edge(0), "log")
                        .contains("replica " + unhealthy.id() + " is ejected"));
        assertTrue(unhealthy.attempts("some") < MOST_FAILURES);
    }

    private static void assertComesBack(
            TestCluster cluster, List<StandInReplica> all, StandInReplica ejected) {
        ejected.fault(ReplicaFault.NONE);
        all.stream()
                .filter(replica -> replica != ejected)
                .forEach(replica -> replica.fault(ReplicaFault.NOT_EXECUTED));
        var back = false;
        for (var i = 0; i < RETURN_ATTEMPTS && !back; i++) {
            back = cluster.request(0, "/safe/x", "back" + i).status() == 200;
        }
        assertTrue(back, "it comes back");
    }

    @Test
    void aDroppedConnectionIsNoReasonToExecuteTwice() {
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .start()) {
            var plain = cluster.replica("i-a");
            assertEquals(200, cluster.request(0, "/safe/x", "f0").status());
            plain.fault(ReplicaFault.DROPS_USED_CONNECTIONS);
            assertEquals(
                    502,
                    cluster.request(0, "/once/x", "f1").status(),
                    "it went out on a connection used just now and may have been executed");
            assertEquals(0, plain.executions("f1"));
            assertEquals(200, cluster.request(0, "/safe/x", "f2").status());
            var retried = cluster.request(0, "/safe/x", "f3");
            assertEquals(200, retried.status(), "what is idempotent is sent again");
            assertEquals(1, plain.executions("f3"));
            for (var i = 0; i < DROPPED_REQUESTS; i++) {
                var served = cluster.request(0, "/once/x", "g" + i).status() == 200;
                var executions = plain.executions("g" + i);
                assertTrue(executions <= 1 && served == (executions == 1));
            }
        }
    }

    @Test
    void aDuplicateRefusalIsNotTakenForTheResponseToTheNextAttempt() {
        var thrice = new TestRoute("thrice", "/thrice/", "non_idempotent", "plain", 3);
        try (var cluster =
                TestCluster.in(dir)
                        .replica("i-a", "plain", 0)
                        .replica("i-m", "model", 0)
                        .edges(0)
                        .routes(thrice)
                        .start()) {
            var plain = cluster.replica("i-a");
            plain.fault(ReplicaFault.DUPLICATE_REFUSAL);
            for (var i = 0; i < REFUSED_REQUESTS; i++) {
                assertEquals(200, cluster.request(0, "/thrice/x", "d" + i).status());
                assertEquals(1, plain.executions("d" + i));
            }
        }
    }
}
