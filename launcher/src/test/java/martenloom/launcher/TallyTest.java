package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tallies at whole core daemons with real files, one in each of three regions: adds by callers that
 * send again elsewhere, a daemon that is cut off, restarts and wiped disks.
 */
final class TallyTest {
    private static final int CORES = 3;
    private static final int ADDS = 30;
    private static final int MOST_ATTEMPTS = 20_000;

    @TempDir private Path dir;

    private static int add(TestCluster cluster, int core, String id, String change) {
        return cluster.control()
                .post(
                        core,
                        "/tallies/t3/update",
                        "{\"InstanceId\":\"" + id + "\",\"ChangedBy\":" + change + "}")
                .status();
    }

    /** As a caller does: sends the same add to one daemon after another until it is counted. */
    private static void addUntilCounted(TestCluster cluster, int firstCore, String id, int change) {
        for (var i = 0; i < MOST_ATTEMPTS; i++) {
            if (add(cluster, (firstCore + i) % CORES, id, "" + change) == 200) {
                return;
            }
        }
        throw new AssertionError(id + " was not counted");
    }

    /** Reads the total until it is this; gives the last answer. */
    private static void assertTotalBecomes(TestCluster cluster, int core, String total) {
        var expected = "{\"Total\":" + total + "}";
        var answer = "";
        for (var i = 0; i < MOST_ATTEMPTS && !answer.equals(expected); i++) {
            answer = cluster.control().get(core, "/tallies/t3/describe").body();
        }
        assertEquals(expected, answer, "core " + core);
    }

    /** Guards against LOST and SHORT: adds and reads of tallies that were answered by 404. */
    @Test
    void anAddCountsOnceAtWhicheverDaemonItComesAgain() {
        try (var cluster = TestCluster.in(dir).start()) {
            assertTotalBecomes(cluster, 0, "0");
            for (var i = 0; i < ADDS; i++) {
                addUntilCounted(cluster, i % CORES, "add" + i, 4);
                addUntilCounted(cluster, (i + 1) % CORES, "add" + i, 4);
            }
            for (var core = 0; core < CORES; core++) {
                assertTotalBecomes(cluster, core, "" + ADDS * 4);
            }
            addUntilCounted(cluster, 0, "less", -20);
            assertTotalBecomes(cluster, 0, "" + (ADDS * 4 - 20));
        }
    }

    /** Guards against adds that were acknowledged and lost with a disk or the power. */
    @Test
    void acknowledgedAddsOutliveRestartsAndTheDisksOfOneRegion() {
        try (var cluster = TestCluster.in(dir).start()) {
            for (var i = 0; i < ADDS; i++) {
                addUntilCounted(cluster, i % CORES, "add" + i, 1);
            }
            for (var core = 0; core < CORES; core++) {
                cluster.kill(cluster.core(core));
            }
            cluster.wipeDisk(1);
            for (var core = 0; core < CORES; core++) {
                cluster.startCore(core);
            }
            for (var core = 0; core < CORES; core++) {
                addUntilCounted(cluster, core, "add" + core, 1);
                assertTotalBecomes(cluster, core, "" + ADDS);
            }
        }
    }

    /** Guards against tallies that need a majority: each side of a cut counts for itself. */
    @Test
    void bothSidesOfACutCountAndAgreeOnceItHeals() {
        try (var cluster = TestCluster.in(dir).start()) {
            addUntilCounted(cluster, 0, "before", 1);
            for (var core = 0; core < CORES; core++) {
                assertTotalBecomes(cluster, core, "1");
            }
            cluster.kill(cluster.core(0));
            cluster.startPartitionedCore(0);
            for (var i = 0; i < ADDS; i++) {
                addAtUntilCounted(cluster, 0, "near" + i);
                addAtUntilCounted(cluster, 1 + i % 2, "far" + i);
                addAtUntilCounted(cluster, 0, "both" + i);
                addAtUntilCounted(cluster, 1, "both" + i);
            }
            assertTotalBecomes(cluster, 0, "" + (1 + 2 * ADDS));
            assertTotalBecomes(cluster, 2, "" + (1 + 2 * ADDS));
            cluster.kill(cluster.core(0));
            cluster.startCore(0);
            for (var core = 0; core < CORES; core++) {
                assertTotalBecomes(cluster, core, "" + (1 + 3 * ADDS));
            }
        }
    }

    private static void addAtUntilCounted(TestCluster cluster, int core, String id) {
        for (var i = 0; i < MOST_ATTEMPTS; i++) {
            if (add(cluster, core, id, "1") == 200) {
                return;
            }
        }
        throw new AssertionError(id + " was not counted at core " + core);
    }

    @Test
    void anAddThatIsNotValidIsRefusedInOneLineAndNotCounted() {
        try (var cluster = TestCluster.in(dir).start()) {
            addUntilCounted(cluster, 0, "valid", 7);
            for (var change : new String[] {"1.5", "\"4\"", "1e30", "9999999999999999999", "[1]"}) {
                assertEquals(400, add(cluster, 0, "id", change), change);
            }
            assertEquals(400, add(cluster, 0, "x".repeat(129), "1"));
            assertEquals(400, add(cluster, 0, "", "1"));
            var control = cluster.control();
            for (var body : new String[] {"", "no json", "{}", "{\"InstanceId\":\"a\"}", "[]"}) {
                var reply = control.post(0, "/tallies/t3/update", body);
                assertEquals(400, reply.status(), body);
                assertTrue(!reply.body().isEmpty() && !reply.body().contains("\n"), reply.body());
            }
            assertEquals(
                    400,
                    control.post(
                                    0,
                                    "/tallies/" + "n".repeat(129) + "/update",
                                    "{\"InstanceId\":\"a\",\"ChangedBy\":1}")
                            .status());
            assertTotalBecomes(cluster, 0, "7");
        }
    }
}
