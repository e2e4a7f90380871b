package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import martenloom.launcher.harness.HttpReply;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Orders without a base of which a copy reaches a daemon after its caller had the order, and then
 * the opposite one, acknowledged by another daemon.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class LateOrderTest {
    private static final String START = "/evacuations/south-b/start";
    private static final String FINISH = "/evacuations/south-b/finish";
    private static final String UNLOAD = "/placements/west/m/unload";
    private static final String LOAD = "/placements/west/m/load";
    private static final String UNLOADED = "west/m desired 0 unloaded";
    private static final long CALLER_PATIENCE_MS = 1_000;
    private static final int LATE = 0;
    private static final int OTHER = 1;

    private TestCluster cluster;

    @BeforeAll
    void startCluster(@TempDir Path dir) {
        cluster =
                TestCluster.in(dir)
                        .replica("i-n", "model", 0)
                        .replica("i-s", "model", 1)
                        .replica("i-w", "model", 2)
                        .edges(0)
                        .start();
        for (var core = 0; core <= OTHER; core++) {
            cluster.assertShown(cluster.core(core), "replicas", "i-w");
        }
    }

    @AfterAll
    void stopCluster() {
        cluster.close();
    }

    private void order(String... paths) {
        for (var path : paths) {
            assertEquals(200, cluster.control().postUntilSettled(path), path);
        }
    }

    /** A copy of an order arrives, and the end of its connection so long after it. */
    private HttpReply arriveLate(String path, boolean kept, long endBehindMs) throws IOException {
        try (var connection = cluster.control().connect(LATE)) {
            if (kept) {
                connection.send("GET /configuration/describe");
                assertEquals(200, connection.receive().status());
            }
            connection.send("POST " + path);
            var end = connection.endAfter(endBehindMs);
            var reply = connection.receive();
            end.join();
            return reply;
        }
    }

    private void assertShown(String sought, boolean shown) {
        var query = sought.equals(UNLOADED) ? "scaling" : "evacuations";
        for (var core = 0; core <= OTHER; core++) {
            assertEquals(shown, cluster.ask(cluster.core(core), query).contains(sought), query);
        }
    }

    /** Guards against an evacuated zone that is in use again, or a zone that empties by itself. */
    @ParameterizedTest
    @CsvSource({"false,0", "true,0", "false,20", "true,20", "false,250", "true,250"})
    void aLateCopyOfAnEvacuationOrderChangesNothing(boolean kept, long endBehindMs)
            throws IOException {
        assertLateCopiesChangeNothing(START, FINISH, "south-b", kept, endBehindMs);
    }

    /**
     * Guards against the same where the network delays all of a caller's bytes by seconds, so that
     * the end comes as long after the call as its caller has waited.
     */
    @Tag("known-red")
    @Test
    void aLateCopyWhoseEndComesASecondBehindItChangesNothing() throws IOException {
        order(START, FINISH);
        arriveLate(START, false, CALLER_PATIENCE_MS);
        assertShown("south-b", false);
    }

    /** Guards against a model that is unloaded, or loaded, against the operator's last order. */
    @ParameterizedTest
    @CsvSource({"false,0", "true,20"})
    void aLateCopyOfAPlacementOrderChangesNothing(boolean kept, long endBehindMs)
            throws IOException {
        assertLateCopiesChangeNothing(UNLOAD, LOAD, UNLOADED, kept, endBehindMs);
    }

    /**
     * @param sought what core daemons show while the first order is in force and the second isn't
     */
    private void assertLateCopiesChangeNothing(
            String order, String opposite, String sought, boolean kept, long endBehindMs)
            throws IOException {
        order(order, opposite);
        assertEquals(503, arriveLate(order, kept, endBehindMs).status());
        assertShown(sought, false);
        order(order);
        assertEquals(503, arriveLate(opposite, kept, endBehindMs).status());
        assertShown(sought, true);
        order(opposite);
    }

    /** Guards against refusing an order because its caller keeps the connection for more calls. */
    @Test
    void anOrderOnAKeptConnectionIsCarriedOut() throws IOException {
        try (var connection = cluster.control().connect(LATE)) {
            for (var path : new String[] {START, FINISH, START, FINISH}) {
                connection.send("POST " + path);
                assertEquals(200, connection.receive().status(), path);
            }
        }
    }

    /** Guards against bytes of a call that was sent ahead being taken for part of another. */
    @Test
    void aCallSentAheadOfAnOrdersResponseIsAnsweredOrItsConnectionEnds() throws IOException {
        try (var connection = cluster.control().connect(LATE)) {
            connection.send("POST " + START);
            connection.send("POST " + FINISH);
            assertEquals(200, connection.receive().status());
            var next = connection.receive();
            assertEquals(next.status() == 200 ? "" : "south-b", shownEvacuations());
        }
        order(FINISH);
    }

    private String shownEvacuations() {
        return cluster.ask(cluster.core(LATE), "evacuations").strip();
    }
}
