package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.DigestRanges;
import martenloom.common.fleet.RecordType;
import martenloom.common.settings.SettingsFile;
import martenloom.launcher.harness.TestCluster;
import martenloom.launcher.harness.TestConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The recorded bytes of what a core daemon exchanges with an edge of its home and with another core
 * daemon. A real daemon runs alone; a plain socket plays the other side. Times and random numbers
 * are made equal before the bytes are compared.
 */
final class CoreRecordsGoldenTest {
    private static final int READ_CONFIGURATION = 6;
    private static final long NOT_ACCEPTED = -1;
    private static final int NET = 58;
    private static final String EDGE_IP = "127." + NET + ".2.40";
    private static final String PEER_IP = "127." + NET + ".1.40";
    static final long STAMP_US = 5_000_000;
    private static final String REPLICA = "t t t t 4 8 1? 8? 8 8?";
    private static final String EDGE = "t t t t t 1 8 8 8 8?";

    private static final String FLOOD = "1 8? ( " + REPLICA + " ) ( " + EDGE + " )";
    private static final String CONFIGURATION = "1 8? 8 t ( t ) ( t 4 1 ( t ) )";
    private static final String RESPONSE = "1 8 8 4 t";
    private static final String DIGESTS = "1" + " 4".repeat(DigestRanges.COUNT);
    private static final byte[] SIGN_OF_LIFE =
            new RecordWriter(RecordType.KNOWN_PEERS).i32(0).bytes();

    private final GoldenBytes golden = new GoldenBytes("core-records.txt");

    @TempDir private Path dir;

    // ---- what the other side sends

    private static byte[] renewal(long sequence, boolean leaving, List<String> duties) {
        return PlainEdge.renewal(EDGE_IP, sequence, leaving, duties, List.of("replica-1"));
    }

    private static byte[] edgeOrder(String act, String subject) {
        return new RecordWriter(RecordType.EDGE_REQUEST)
                .i64(11)
                .i64(12)
                .text(act)
                .text(subject)
                .i64(0)
                .i64(0)
                .text("")
                .bytes();
    }

    /** An order to read the configuration, field by field as it travels. */
    private static byte[] order() {
        return new RecordWriter(RecordType.ORDER_REQUEST)
                .i64(21)
                .i64(22)
                .u8(READ_CONFIGURATION)
                .i64(0)
                .text("")
                .text("")
                .i64(0)
                .text("")
                .i64(NOT_ACCEPTED)
                .bytes();
    }

    private static byte[] hello(String region, int mostEdges) {
        return new RecordWriter(RecordType.HELLO)
                .text(PEER_IP)
                .text(region)
                .i32(mostEdges)
                .i64(STAMP_US)
                .bytes();
    }

    private static byte[] confirmedFlood() {
        var flood =
                new RecordWriter(RecordType.REGISTRY_UPDATE).i64(STAMP_US).i32(0).i32(0).bytes();
        return new RecordWriter(RecordType.CONFIRMED_REGISTRY_UPDATE)
                .i64(31)
                .i64(32)
                .blob(flood)
                .bytes();
    }

    private static byte[] digestsThatDiffer() {
        var out = new RecordWriter(RecordType.REGISTRY_DIGEST);
        for (var range = 0; range < DigestRanges.COUNT; range++) {
            out.i32(123_456_789);
        }
        return out.bytes();
    }

    private static byte[] sample() {
        return new RecordWriter(RecordType.LOAD_SAMPLE)
                .text(EDGE_IP)
                .i64(42)
                .i64(9)
                .i32(1)
                .i32(1)
                .text("replica-1")
                .i32(3)
                .i32(400)
                .u8(1)
                .u8(0)
                .i16(5)
                .i16(2)
                .i32(1)
                .text("north/m")
                .i32(6)
                .i32(1)
                .text("shared-part")
                .text("replica-1")
                .bytes();
    }

    private static byte[] report() {
        return new RecordWriter(RecordType.OVERLOAD_REPORT)
                .text("north")
                .text("m")
                .text(EDGE_IP)
                .i64(1_000)
                .i64(1)
                .i64(2_000_000)
                .text("loss")
                .i32(35)
                .bytes();
    }

    private static byte[] query() {
        return new RecordWriter(RecordType.SHELL_QUERY).text("no such query").bytes();
    }

    // ---- the checks

    private void check(String name, byte[] record, String description) {
        golden.check(name, RecordMask.masked(record, description));
    }

    private static int internalPort(TestCluster cluster) {
        return SettingsFile.parse(cluster.edgeSettingsText(0)).firstInternalPort();
    }

    /** A core daemon that runs alone. */
    private TestCluster startOneCore(int network) {
        return TestCluster.in(dir).network(network).cores(1).withoutConfiguration().start();
    }

    private static void prepare(TestCluster cluster) {
        assertEquals(200, cluster.control().replaceConfiguration(0, TestConfiguration.of(3)));
        assertEquals(200, cluster.control().postUntilSettled("/evacuations/south-b/start"));
        assertEquals(200, cluster.control().postUntilSettled("/placements/west/m/unload"));
        assertEquals(
                200,
                cluster.control()
                        .postUntilSettled(
                                "/jobs/job-1/submit",
                                "{\"Hostname\":\"cluster.example\",\"Path\":\"/safe/x\",\"DueMs\":600000,"
                                    + "\"Headers\":{\"X-Prompt-Prefix\":\"shared-part:9\"},"
                                    + "\"Body\":\"b\"}"));
        assertEquals(
                200,
                cluster.control()
                        .post(
                                0,
                                "/instances/replica-1/heartbeat",
                                "{\"Backend\":\"model\",\"Address\":\"127.58.3.40:9000\","
                                        + "\"Zone\":\"north-a\",\"Capacity\":8,\"Sequence\":5}")
                        .status());
    }

    /** Checks the bytes of a record against the recorded ones, and sends those. */
    private void checkAndSend(PlainPeer peer, String name, byte[] record) throws IOException {
        golden.check(name, record);
        peer.send(golden.bytes(name));
    }

    @Test
    void anEdgeIsAnsweredAsRecorded() throws IOException {
        try (var cluster = startOneCore(NET)) {
            prepare(cluster);
            var port = internalPort(cluster);
            try (var peer = PlainPeer.connect(PEER_IP, cluster.core(0), port);
                    var edge = PlainPeer.connect(EDGE_IP, cluster.core(0), port)) {
                checkAndSend(peer, "from-core.hello-of-many-edges", hello("south", 100));
                peer.next(RecordType.KNOWN_PEERS);
                checkFirstRenewal(edge);
                checkLoadReports(edge);
                checkRequests(edge);
                assertEquals(
                        200, cluster.control().postUntilSettled("/evacuations/south-b/finish"));
                checkResync(edge);
                checkAndSend(edge, "query", query());
                check("text", edge.next(RecordType.SHELL_RESPONSE), "1 t");
            }
        }
    }

    private void checkReplicas(PlainPeer edge) throws IOException {
        check("to-edge.replicas", edge.next(RecordType.REPLICA_UPDATE), "1 1 ( " + REPLICA + " )");
    }

    private void checkFirstRenewal(PlainPeer edge) throws IOException {
        checkAndSend(edge, "from-edge.renewal", renewal(1, false, List.of("jobs/north")));
        checkReplicas(edge);
        check("to-edge.configuration", edge.next(RecordType.CONFIGURATION), CONFIGURATION);
        check(
                "to-edge.news",
                edge.next(RecordType.EDGE_LEASE_RESPONSE),
                "1 8 8? 8? 8? 4? 4 4 ( t ) 1 8 ( t 4 )");
        check("to-edge.grant", edge.next(RecordType.LEASE_GRANT), "1 t t 8? 8 8");
        edge.send(renewal(2, false, List.of("jobs/north")));
        check("to-edge.jobs", edge.next(RecordType.JOB_LIST), "1 ( t 1 8 4 8? 8 t t )");
    }

    private void checkLoadReports(PlainPeer edge) throws IOException {
        checkAndSend(edge, "from-edge.sample", sample());
        check(
                "to-edge.whole-sum",
                sumOfSample(edge),
                "1 8 4 ( t 4 4 1 1 4 ) ( t 4 ) ( t t ) 4 ( t 4 4 1 1 4 ) ( t 4 )");
        checkAndSend(edge, "from-edge.report", report());
        assertTrue(
                Arrays.equals(report(), edge.next(RecordType.OVERLOAD_REPORT)),
                "a report is passed on as it came");
    }

    private void checkRequests(PlainPeer edge) throws IOException {
        checkAndSend(edge, "from-edge.order", edgeOrder("REPLACE", "x"));
        check("to-edge.order-refused", edge.next(RecordType.ORDER_RESPONSE), RESPONSE);
        checkAndSend(edge, "from-edge.job-start", edgeOrder("JOB_START", "job-unknown"));
        check("to-edge.job-refused", edge.next(RecordType.ORDER_RESPONSE), RESPONSE);
    }

    private void checkResync(PlainPeer edge) throws IOException {
        check(
                "to-edge.configuration-without-text",
                configuration(edge, record -> !contains(record, "south-b")),
                CONFIGURATION);
        edge.send(new RecordWriter(RecordType.RESYNC_REQUEST).bytes());
        check(
                "to-edge.configuration-after-evacuation",
                configuration(edge, record -> contains(record, "revision")),
                CONFIGURATION);
        checkReplicas(edge);
    }

    /** The next configuration of that kind; committed changes bring others at any time. */
    private static byte[] configuration(PlainPeer edge, Predicate<byte[]> sought)
            throws IOException {
        var record = edge.next(RecordType.CONFIGURATION);
        while (!sought.test(record)) {
            record = edge.next(RecordType.CONFIGURATION);
        }
        return record;
    }

    private static boolean contains(byte[] record, String text) {
        return new String(record, StandardCharsets.ISO_8859_1).contains(text);
    }

    /** The first sum that names the sample; sums of nothing may come before it. */
    private static byte[] sumOfSample(PlainPeer edge) throws IOException {
        var sum = edge.next(RecordType.TOTAL_LOAD);
        while (new RecordReader(sum, true).i64() != 9) {
            sum = edge.next(RecordType.TOTAL_LOAD);
        }
        return sum;
    }

    @Test
    void anotherCoreDaemonIsAnsweredAsRecorded() throws IOException {
        try (var cluster = startOneCore(NET + 1)) {
            prepare(cluster);
            var port = internalPort(cluster);
            try (var server = new ServerSocket(port, 5, InetAddress.getByName(PEER_IP));
                    var peer = PlainPeer.connect(PEER_IP, cluster.core(0), port);
                    var edge = PlainPeer.connect(EDGE_IP, cluster.core(0), port)) {
                server.setSoTimeout(20_000);
                checkAndSend(peer, "from-core.hello", hello("north", 7));
                check("to-core.heard", peer.next(RecordType.KNOWN_PEERS), "1 ( t )");
                try (var dialed = new PlainPeer(server.accept())) {
                    checkDialedConnection(dialed, peer, edge);
                }
                checkAndSend(peer, "from-core.order", order());
                check("to-core.answer", peer.next(RecordType.ORDER_RESPONSE), RESPONSE);
                checkAndSend(peer, "from-core.confirmed-flood", confirmedFlood());
                check("to-core.confirmation", peer.next(RecordType.ORDER_RESPONSE), RESPONSE);
            }
        }
    }

    /** What the daemon sends on the connection that it opened to the other core daemon. */
    private void checkDialedConnection(PlainPeer dialed, PlainPeer peer, PlainPeer edge)
            throws IOException {
        check("to-core.hello", dialed.next(RecordType.HELLO), "1 t t 4 8?");
        dialed.send(SIGN_OF_LIFE);
        edge.send(renewal(1, false, List.of()));
        floodOfEdge(dialed);
        edge.send(renewal(2, true, List.of()));
        check("to-core.flood", floodOfEdge(dialed), FLOOD);
        dialed.send(SIGN_OF_LIFE);
        edge.send(sample());
        check("to-core.home-sum", sumOfHome(dialed), "1 t 8? 8? 4 ( t 4 4 1 1 4 ) ( t 4 ) ( t t )");
        check("to-core.digests", dialed.next(RecordType.REGISTRY_DIGEST), DIGESTS);
        dialed.send(SIGN_OF_LIFE);
        checkAndSend(peer, "from-core.digests", digestsThatDiffer());
        check("to-core.mending-flood", floodOfEdge(dialed), FLOOD);
    }

    /** The next flood that has the row of the edge. */
    private static byte[] floodOfEdge(PlainPeer peer) throws IOException {
        var flood = peer.next(RecordType.REGISTRY_UPDATE);
        while (!contains(flood, EDGE_IP)) {
            flood = peer.next(RecordType.REGISTRY_UPDATE);
        }
        return flood;
    }

    /** The next sum of this home that counts the edge. */
    private static byte[] sumOfHome(PlainPeer peer) throws IOException {
        var sum = peer.next(RecordType.HOME_LOAD);
        while (!contains(sum, "north/m")) {
            sum = peer.next(RecordType.HOME_LOAD);
        }
        return sum;
    }
}
