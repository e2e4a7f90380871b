package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.ShellAnswers;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import martenloom.launcher.harness.TestRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The control plane as whole daemons with real files: configurations and evacuations under races,
 * restarts, growth, a wiped disk and a full one.
 */
final class ControlPlaneTest {
    private static final int CORES = 3;
    private static final int GROWN_CORES = 5;
    private static final int MOST_ATTEMPTS = 50;
    private static final int ROUNDS = 3;

    @TempDir private Path dir;

    private static HttpReply describeUntilServed(TestCluster cluster, int core) {
        var described = cluster.control().get(core, "/configuration/describe");
        for (var i = 0; i < MOST_ATTEMPTS && described.status() != 200; i++) {
            described = cluster.control().get(core, "/configuration/describe");
        }
        return described;
    }

    @Test
    void acknowledgedConfigurationsSurviveRestartsAndAWipedDisk() {
        try (var cluster = TestCluster.in(dir).start()) {
            var control = cluster.control();
            assertEquals(
                    200,
                    control.replaceConfiguration(0, TestConfiguration.of(3)),
                    "the same again");
            var late = new TestRoute("late", "/late/", "idempotent", "plain", 1);
            var revision = raceOfTwo(cluster, late);
            var invalid = TestConfiguration.of(9).replace("8000", "0");
            assertEquals(400, control.replaceConfiguration(revision, invalid));
            assertEquals(400, control.replaceConfiguration(revision, TestConfiguration.of(2)));
            assertEquals(412, control.replaceConfiguration(3, TestConfiguration.of(11)));
            assertEquals(
                    200, control.updateConfiguration(revision, TestConfiguration.upsert(20, late)));
            for (var i = 0; i < CORES; i++) {
                cluster.kill(cluster.core(i));
            }
            cluster.startCore(0);
            cluster.wipeDisk(1);
            cluster.startCore(1);
            assertEquals(
                    503,
                    control.get(0, "/configuration/describe").status(),
                    "one kept disk and a wiped one are no majority");
            cluster.startCore(2);
            assertTrue(
                    cluster.askUntil(cluster.core(1), "chain", "mode FOLLOWING")
                                    .contains("FOLLOWING")
                            || cluster.ask(cluster.core(1), "chain").contains("HEADING"),
                    "the wiped one learns and serves again");
            var described = describeUntilServed(cluster, 1);
            assertTrue(
                    described.body().contains("\"Revision\":20")
                            && described.body().contains("\"late\""),
                    described.status() + described.body());
        }
    }

    /** Orders two configurations on the same base at once; gives the one revision that won. */
    private static int raceOfTwo(TestCluster cluster, TestRoute route) {
        var control = cluster.control();
        var five =
                CompletableFuture.supplyAsync(
                        () -> control.replaceConfiguration(0, 3, TestConfiguration.of(5)));
        var six =
                CompletableFuture.supplyAsync(
                        () -> control.replaceConfiguration(1, 3, TestConfiguration.of(6, route)));
        var fiveWon = five.join().status() == 200;
        var sixWon = six.join().status() == 200;
        assertEquals(
                1,
                (fiveWon ? 1 : 0) + (sixWon ? 1 : 0),
                five.join().status() + " and " + six.join().status());
        return fiveWon ? 5 : 6;
    }

    @Test
    void theCoreGrowsToAllItsDaemonsAndSurvivesTheLossOfItsHead() {
        try (var cluster = TestCluster.in(dir).cores(GROWN_CORES).start()) {
            var view = cluster.askUntil(cluster.core(0), "chain", cluster.core(4) + "]\n");
            for (var i = 0; i < GROWN_CORES; i++) {
                assertTrue(view.contains(cluster.core(i)), view);
            }
            var head = ShellAnswers.viewHead(view);
            cluster.kill(head);
            var survivor = head.equals(cluster.core(1)) ? 2 : 1;
            var status = 0;
            for (var i = 0; i < MOST_ATTEMPTS && status != 200; i++) {
                status =
                        cluster.control()
                                .replaceConfiguration(survivor, 3, TestConfiguration.of(4))
                                .status();
            }
            assertEquals(200, status);
        }
    }

    @Test
    void anEvacuationIsOrderedAtAnyDaemonAndOrderedAgain() {
        try (var cluster = TestCluster.in(dir).start()) {
            for (var round = 0; round < ROUNDS; round++) {
                for (var core = 0; core < CORES; core++) {
                    assertEquals(
                            200,
                            cluster.control().post(core, "/evacuations/south-b/start").status(),
                            "start at " + core + " in round " + round);
                }
                cluster.assertShown(cluster.core(1), "evacuations", "south-b");
                for (var core = CORES - 1; core >= 0; core--) {
                    assertEquals(
                            200,
                            cluster.control().post(core, "/evacuations/south-b/finish").status(),
                            "finish at " + core + " in round " + round);
                }
            }
            for (var core = 0; core < CORES; core++) {
                assertEquals("", cluster.ask(cluster.core(core), "evacuations"));
            }
        }
    }

    @Test
    void aMemberWhoseDiskIsFullLeavesTheViewAndComesBack() {
        try (var cluster = TestCluster.in(dir).start()) {
            var head =
                    ShellAnswers.viewHead(cluster.askUntil(cluster.core(0), "chain", "head 127"));
            var full = head.equals(cluster.core(0)) ? 0 : head.equals(cluster.core(1)) ? 1 : 2;
            cluster.fillDisk(full);
            assertEquals(
                    200,
                    cluster.control().replaceConfiguration(3, TestConfiguration.of(5)),
                    "the others go on");
            var view = cluster.ask(cluster.core((full + 1) % CORES), "chain");
            assertFalse(
                    view.replaceAll("(?s).*chain \\[(.*?)\\].*", "$1").contains(head),
                    "no acknowledgement by way of a disk that refuses: " + view);
            cluster.freeDisk(full);
            cluster.assertShown(head, "chain", "mode FOLLOWING");
            cluster.assertShown(head, "configuration", "revision 5");
        }
    }
}
