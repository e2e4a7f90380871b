package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Core daemons that get SIGTERM - in turn, one after the other for good, all at once, and with a
 * successor at a new address - and core daemons that are partitioned from the others.
 */
final class CoreShutdownTest {
    private static final int CORES = 3;
    private static final long NS_PER_MS = 1_000_000;
    private static final long SHUTDOWN_MS = 2_500;
    private static final long CATCH_UP_MS = 4_000;
    private static final long REPLACEMENT_MS = CATCH_UP_MS + 1_000;
    private static final int MOST_ATTEMPTS = 50;

    @TempDir private Path dir;
    @AutoClose private TestCluster cluster;

    @BeforeEach
    void startCluster() {
        cluster = TestCluster.in(dir).configuration(TestConfiguration.of(1)).start();
        cluster.awaitView(0, 1, 2);
    }

    /** Orders the next revision at one daemon until it is in service; gives the status. */
    private int replaceUntilServed(int core, int revision) {
        var status = 503;
        for (var i = 0; i < MOST_ATTEMPTS && status == 503; i++) {
            status =
                    cluster.control()
                            .replaceConfiguration(
                                    core, revision - 1, TestConfiguration.of(revision))
                            .status();
        }
        return status;
    }

    private void assertRevision(int core, int revision) {
        assertTrue(
                cluster.control()
                        .get(core, "/configuration/describe")
                        .body()
                        .contains("\"Revision\":" + revision));
    }

    /** Shuts a daemon down in order and gives how long it took in milliseconds. */
    private long shutDown(int core) {
        var beganNs = System.nanoTime();
        assertTrue(cluster.shutDownCore(core), "in order");
        return (System.nanoTime() - beganNs) / NS_PER_MS;
    }

    private void freezeOthers() {
        cluster.freeze(cluster.core(1));
        cluster.freeze(cluster.core(2));
    }

    private void thawOthers() {
        cluster.thaw(cluster.core(1));
        cluster.thaw(cluster.core(2));
    }

    @Test
    void eachDaemonInTurnShutsDownInOrderAndIsBackInTime() {
        for (var i = 0; i < CORES; i++) {
            var tookMs = shutDown(i);
            assertTrue(tookMs < SHUTDOWN_MS, "before the grace period ends: " + tookMs + " ms");
            assertEquals(200, replaceUntilServed((i + 1) % CORES, 2 + i));
            cluster.startCore(i);
            var backMs = cluster.awaitView(0, 1, 2);
            assertTrue(backMs < CATCH_UP_MS, "back after " + backMs + " ms");
            System.out.println(
                    "core " + i + ": left in " + tookMs + " ms, back in " + backMs + " ms");
        }
        assertRevision(0, 4);
    }

    @Test
    void threeMembersBecomeOneAndLoseNothing() {
        shutDown(0);
        assertEquals(200, replaceUntilServed(1, 2));
        shutDown(1);
        assertEquals(200, replaceUntilServed(2, 3), "the last one goes on alone");
        cluster.startCore(0);
        cluster.startCore(1);
        cluster.awaitView(0, 1, 2);
        assertRevision(0, 3);
    }

    @Test
    void allMembersAtOnceEndEarlyAndAMajorityOfTheDisksIsEnough() {
        var shutdowns =
                Stream.of(0, 1, 2)
                        .map(
                                core ->
                                        CompletableFuture.supplyAsync(
                                                () -> cluster.shutDownCore(core)))
                        .toList();
        shutdowns.forEach(
                shutdown -> assertTrue(shutdown.join(), "not at the end of the grace period"));
        cluster.wipeDisk(1);
        for (var i = 0; i < CORES; i++) {
            cluster.startCore(i);
        }
        cluster.awaitView(0, 1, 2);
        assertRevision(2, 1);
    }

    /**
     * One planned, then another dead for good, each with a successor at a new address, then a lost
     * disk.
     */
    @Test
    void replacementsInARowLeaveAMajorityForTheNextLoss() {
        shutDown(0);
        cluster.startCore(3);
        var firstMs = cluster.awaitView(1, 2, 3);
        cluster.kill(cluster.core(1));
        cluster.startCore(4);
        var secondMs = cluster.awaitView(2, 3, 4);
        assertTrue(
                firstMs < REPLACEMENT_MS && secondMs < REPLACEMENT_MS,
                firstMs + " and " + secondMs + " ms");
        assertEquals(200, replaceUntilServed(3, 2));
        cluster.kill(cluster.core(2));
        cluster.wipeDisk(2);
        assertEquals(200, replaceUntilServed(4, 3), "without the last one of the first three");
        cluster.startCore(2);
        cluster.awaitView(2, 3, 4);
        assertRevision(2, 3);
    }

    @Test
    void aDaemonThatCannotYetShutDownSendsCallersElsewhere() {
        freezeOthers();
        var shutdown = CompletableFuture.runAsync(() -> cluster.shutDownCore(0));
        var reply = cluster.control().post(0, "/instances/x/heartbeat", "{}");
        while (reply.status() == 400) {
            reply = cluster.control().post(0, "/instances/x/heartbeat", "{}");
        }
        assertEquals(503, reply.status());
        assertEquals("close", reply.field("Connection"));
        thawOthers();
        shutdown.join();
        assertEquals(200, replaceUntilServed(1, 2));
    }

    /** It neither hands out the configuration, nor confirms, nor rejects. */
    @Test
    void aPartitionedDaemonAnswersNothingAsCurrent() {
        cluster.kill(cluster.core(1));
        cluster.kill(cluster.core(2));
        cluster.askUntil(cluster.core(0), "chain", "mode BIDDING");
        for (var call :
                List.of(
                        "GET /configuration/describe",
                        "POST /configuration/replace",
                        "POST /evacuations/north-a/start")) {
            var control = cluster.control();
            assertEquals(503, control.call(0, call, "0", TestConfiguration.of(2)).status(), call);
            assertEquals(
                    503,
                    control.call(0, call, "1", "{\"Revision\":0}").status(),
                    call + " that is invalid");
        }
    }

    @Test
    void anEdgeThatStartsAtAPartitionedHomeGetsNoConfigurationFromIt() {
        freezeOthers();
        cluster.askUntil(cluster.core(0), "chain", "mode BIDDING");
        cluster.startEdge(0);
        cluster.assertShown(cluster.core(0), "homes", cluster.edge(0));
        var shown = cluster.ask(cluster.edge(0), "home");
        assertTrue(shown.contains("edition -1 revision 0"), shown);
        thawOthers();
        shown = cluster.askUntil(cluster.edge(0), "home", "revision 1");
        assertTrue(shown.contains("revision 1"), "and has it once the core is whole: " + shown);
    }
}
