package martenloom.launcher;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import martenloom.launcher.harness.ClientCrowd;
import martenloom.launcher.harness.DaemonProcess;
import martenloom.launcher.harness.ProcessCluster;
import martenloom.launcher.harness.ProcessLimits;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Crowds of clients that keep to the limits of a request but not to the sense of them, against
 * daemons that run as processes with little memory and few descriptors: the process lives on, stays
 * within both, and serves one ordinary caller while the crowd is still there.
 *
 * <p>With the limits of the deploy file: {@code -Dcrowd.heapMb=160 -Dcrowd.memoryMb=430
 * -Dcrowd.descriptors=4096 -Dcrowd.factor=5}.
 */
final class ClientCrowdTest {
    private static final ProcessLimits LIMITS =
            new ProcessLimits(
                    Integer.getInteger("crowd.heapMb", 64),
                    Integer.getInteger("crowd.memoryMb", 320),
                    Integer.getInteger("crowd.descriptors", 600));

    /** How many times as large the crowds are. */
    private static final int FACTOR = Integer.getInteger("crowd.factor", 1);

    /** More than a daemon with these limits may have open. */
    private static final int CROWD = 700 * FACTOR;

    /** Crowds whose clients send much. */
    private static final int SMALLER_CROWD = 300 * FACTOR;

    private static final int LARGE_SENDERS = 60 * FACTOR;

    private static final int FIRST_NETWORK = 200;
    private static final AtomicInteger NEXT_NETWORK = new AtomicInteger(FIRST_NETWORK);
    private static final int HEAD_BYTES = 16_000;
    private static final int BODY_BYTES = 1 << 20;
    private static final int SMALL_BODY_BYTES = 65_000;
    private static final int LARGE_CHUNK_BYTES = 1 << 16;
    private static final int TINY_CHUNKS = 100_000;
    private static final int REQUESTS_AHEAD = 2_000;
    private static final int CONTROL_HEAD_LINES = 90;
    private static final int CONTROL_HEAD_LINE_BYTES = 8_000;
    private static final int RECORD_BYTES = 20 << 20;
    private static final int RECORD_BYTES_SENT = 8 << 20;
    private static final int NESTED_ARRAYS = 60_000;
    private static final int LIST_ITEMS = 3_000_000;
    private static final String EDGE_HEAD =
            "POST /safe/x HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: crowd\r\n";
    private static final String JOB_HEAD = "POST /jobs/j/submit HTTP/1.1\r\nHost: c\r\n";

    private ProcessCluster cluster;

    @BeforeEach
    void startCluster(@TempDir Path dir) {
        var configuration =
                TestConfiguration.of(1)
                        .replace("\"MaxHeaderBytes\":8192", "\"MaxHeaderBytes\":16384")
                        .replace("\"MaxBodyBytes\":100000", "\"MaxBodyBytes\":4194304")
                        .replace("\"HeaderTimeoutMs\":3000", "\"HeaderTimeoutMs\":60000")
                        .replace("\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":60000");
        var network = NEXT_NETWORK.getAndIncrement();
        cluster = new ProcessCluster(dir, network, 1, 1, LIMITS, configuration);
    }

    @AfterEach
    void stopCluster() {
        cluster.close();
    }

    // ---- requests at an edge

    @Test
    void headsOfManyShortLinesWithBodiesAByteShort() {
        var lines = "a:\r\n".repeat((HEAD_BYTES - 200) / 4);
        edgeServesBeside(SMALLER_CROWD, EDGE_HEAD + lines + shortBody(100));
    }

    @Test
    void headsOfManyOddLinesWithBodiesAByteShort() {
        var lines = "~!#$%&'*:\t \t\r\nX-Odd: \r\n".repeat((HEAD_BYTES - 200) / 24);
        edgeServesBeside(SMALLER_CROWD, EDGE_HEAD + lines + shortBody(100));
    }

    @Test
    void headsThatDoNotEnd() {
        edgeServesBeside(CROWD, EDGE_HEAD + "a:\r\n".repeat((HEAD_BYTES - 200) / 4));
    }

    @Test
    void largeBodiesAByteShort() {
        edgeServesBeside(SMALLER_CROWD, EDGE_HEAD + shortBody(BODY_BYTES));
    }

    @Test
    void smallBodiesAByteShort() {
        edgeServesBeside(CROWD, EDGE_HEAD + shortBody(SMALL_BODY_BYTES));
    }

    @Test
    void bodiesInLargeChunksWithoutTheLast() {
        edgeServesBeside(SMALLER_CROWD, EDGE_HEAD + largeChunks(BODY_BYTES));
    }

    @Test
    void bodiesInTinyChunksWithoutTheLast() {
        edgeServesBeside(SMALLER_CROWD, EDGE_HEAD + tinyChunks());
    }

    @Test
    void requestsSentAheadWhoseResponsesAreNotRead() {
        var request = EDGE_HEAD + "Content-Length: 1\r\n\r\np";
        edgeServesBeside(SMALLER_CROWD, request.repeat(REQUESTS_AHEAD));
    }

    @Test
    void silentClientsOfAnEdge() {
        edgeServesBeside(CROWD, "");
    }

    private void edgeServesBeside(int clients, String sent) {
        var edge = cluster.edge(0);
        assertServedBeside(cluster.front(0), clients, sent, edge, each -> each.answersAtEdge(0));
    }

    // ---- the other listeners of an edge

    @Test
    void silentClientsOfTheReadinessCheck() {
        readinessServesBeside(CROWD, "");
    }

    @Test
    void headsThatDoNotEndAtTheReadinessCheck() {
        readinessServesBeside(SMALLER_CROWD, controlHeadWithoutEnd("GET /readyz HTTP/1.1\r\n"));
    }

    private void readinessServesBeside(int clients, String sent) {
        var edge = cluster.edge(0);
        assertServedBeside(
                cluster.readiness(0), clients, sent, edge, each -> each.answersAtReadiness(0));
    }

    @Test
    void silentLinksToAnEdge() {
        var edge = cluster.edge(0);
        assertServedBeside(cluster.edgeLinks(0), CROWD, "", edge, each -> each.answersAtEdge(0));
    }

    @Test
    void recordsWithoutEndOnLinksToAnEdge() {
        assertServedBeside(
                cluster.edgeLinks(0),
                LARGE_SENDERS,
                recordWithoutEnd(),
                cluster.edge(0),
                each -> each.answersAtEdge(0));
    }

    // ---- calls to a core daemon

    @Test
    void smallBodiesAByteShortAtACoreDaemon() {
        coreServesBeside(CROWD, JOB_HEAD + shortBody(SMALL_BODY_BYTES));
    }

    @Test
    void largeBodiesAByteShortAtACoreDaemon() {
        coreServesBeside(SMALLER_CROWD, JOB_HEAD + shortBody(BODY_BYTES));
    }

    @Test
    void bodiesInLargeChunksWithoutTheLastAtACoreDaemon() {
        coreServesBeside(SMALLER_CROWD, JOB_HEAD + largeChunks(BODY_BYTES));
    }

    @Test
    void bodiesInTinyChunksWithoutTheLastAtACoreDaemon() {
        coreServesBeside(SMALLER_CROWD, JOB_HEAD + tinyChunks());
    }

    @Test
    void headsThatDoNotEndAtACoreDaemon() {
        coreServesBeside(SMALLER_CROWD, controlHeadWithoutEnd(JOB_HEAD));
    }

    @Test
    void silentClientsOfACoreDaemon() {
        coreServesBeside(CROWD, "");
    }

    @Test
    void callsSentAheadWhoseResponsesAreNotRead() {
        var call = "GET /configuration/describe HTTP/1.1\r\nHost: c\r\n\r\n";
        coreServesBeside(SMALLER_CROWD, call.repeat(REQUESTS_AHEAD));
    }

    @Test
    void bodiesOfDeeplyNestedJson() {
        var body = "{\"Body\":" + "[".repeat(NESTED_ARRAYS);
        coreServesBeside(LARGE_SENDERS, JOB_HEAD + wholeBody(body));
    }

    @Test
    void bodiesOfLongJsonLists() {
        var body = "{\"Body\":[" + "0,".repeat(LIST_ITEMS) + "0]}";
        coreServesBeside(LARGE_SENDERS, JOB_HEAD + wholeBody(body));
    }

    private void coreServesBeside(int clients, String sent) {
        var core = cluster.core(0);
        assertServedBeside(
                cluster.controlPlane(0),
                clients,
                sent,
                core,
                each -> each.answersAtCore(0) && each.acknowledgesUpdate(0));
    }

    // ---- the other listener of a core daemon

    @Test
    void silentLinksToACoreDaemon() {
        var core = cluster.core(0);
        assertServedBeside(cluster.coreLinks(0), CROWD, "", core, each -> each.answersAtCore(0));
    }

    @Test
    void recordsWithoutEndOnLinksToACoreDaemon() {
        assertServedBeside(
                cluster.coreLinks(0),
                LARGE_SENDERS,
                recordWithoutEnd(),
                cluster.core(0),
                each -> each.answersAtCore(0));
    }

    // ---- what the crowds send

    private static String shortBody(int announced) {
        return "Content-Length: " + announced + "\r\n\r\n" + "b".repeat(announced - 1);
    }

    private static String wholeBody(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String largeChunks(int length) {
        var chunk =
                Integer.toHexString(LARGE_CHUNK_BYTES)
                        + "\r\n"
                        + "b".repeat(LARGE_CHUNK_BYTES)
                        + "\r\n";
        return "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(length / LARGE_CHUNK_BYTES);
    }

    private static String tinyChunks() {
        return "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nb\r\n".repeat(TINY_CHUNKS);
    }

    private static String controlHeadWithoutEnd(String start) {
        var line = "X-Long: " + "v".repeat(CONTROL_HEAD_LINE_BYTES) + "\r\n";
        return start + line.repeat(CONTROL_HEAD_LINES);
    }

    /** The length of a record and a part of its bytes. */
    private static String recordWithoutEnd() {
        var length = new StringBuilder();
        for (var shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            length.append((char) (RECORD_BYTES >> shift & 0xff));
        }
        return length + "r".repeat(RECORD_BYTES_SENT);
    }

    // ---- what must hold

    private void assertServedBeside(
            String address,
            int clients,
            String sent,
            DaemonProcess daemon,
            Predicate<ProcessCluster> serves) {
        var payload = sent.getBytes(StandardCharsets.ISO_8859_1);
        try (var crowd = new ClientCrowd(address, payload)) {
            crowd.press(clients);
            assertWithinLimits(daemon);
            var served = serves.test(cluster);
            assertWithinLimits(daemon);
            assertTrue(served, "an ordinary caller was not served");
        }
        assertTrue(serves.test(cluster), "an ordinary caller was not served after the crowd");
        assertWithinLimits(daemon);
    }

    private static void assertWithinLimits(DaemonProcess daemon) {
        assertTrue(daemon.isAlive(), () -> "the process ended: " + daemon.output());
        var descriptors = daemon.descriptors();
        assertTrue(descriptors <= LIMITS.maxFileDescriptors(), () -> descriptors + " descriptors");
        var memoryMb = daemon.peakMemoryMb();
        assertTrue(memoryMb <= LIMITS.memoryMb(), () -> memoryMb + " MB");
    }
}
