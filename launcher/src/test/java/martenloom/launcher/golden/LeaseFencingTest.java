package martenloom.launcher.golden;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.settings.SettingsFile;
import martenloom.launcher.harness.TestCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a home passes on of grants and reports that are outdated or come from where they may not. A
 * real daemon runs alone; plain sockets play an edge and another core daemon.
 */
final class LeaseFencingTest {
    private static final int NETWORK = 61;
    private static final String EDGE_IP = "127." + NETWORK + ".2.40";
    private static final String PEER_IP = "127." + NETWORK + ".1.40";
    private static final String HOLDER = PlainEdge.holder(EDGE_IP);
    private static final String REPORTER_ROLE = "north/m";
    private static final String OTHER_ROLE = "jobs/north";
    private static final long LEASE_US = 2_000_000;

    @TempDir private Path dir;

    private static byte[] renewal(long sequence, String role) {
        return PlainEdge.renewal(EDGE_IP, sequence, false, List.of(role), List.of());
    }

    private static byte[] grant(String role, long fencingToken) {
        return new RecordWriter(RecordType.LEASE_GRANT)
                .text(HOLDER)
                .text(role)
                .i64(fencingToken)
                .i64(0)
                .i64(LEASE_US)
                .bytes();
    }

    private static byte[] report(long fencingToken, long counter) {
        return new RecordWriter(RecordType.OVERLOAD_REPORT)
                .text("north")
                .text("m")
                .text(EDGE_IP)
                .i64(fencingToken)
                .i64(counter)
                .i64(LEASE_US)
                .text("loss")
                .i32(35)
                .bytes();
    }

    /** The fencing token of the next grant, which must be one of this role. */
    private static long grantedToken(PlainPeer edge, String role) throws IOException {
        var in = new RecordReader(edge.next(RecordType.LEASE_GRANT), true);
        assertEquals(HOLDER, in.text());
        assertEquals(role, in.text());
        return in.i64();
    }

    private TestCluster startOneCore() {
        return TestCluster.in(dir).network(NETWORK).cores(1).start();
    }

    private static int internalPort(TestCluster cluster) {
        return SettingsFile.parse(cluster.edgeSettingsText(0)).firstInternalPort();
    }

    /** Guards against the report of a former reporter being taken for one of the present. */
    @Test
    void aReportWithAnOlderFencingTokenIsDropped() throws IOException {
        try (var cluster = startOneCore();
                var edge = PlainPeer.connect(EDGE_IP, cluster.core(0), internalPort(cluster))) {
            edge.send(renewal(1, REPORTER_ROLE));
            var token = grantedToken(edge, REPORTER_ROLE);
            edge.send(report(token - 1, 1));
            edge.send(report(token, 2));
            assertArrayEquals(
                    report(token, 2),
                    edge.next(RecordType.OVERLOAD_REPORT),
                    "the first one that is passed on");
        }
    }

    /** Guards against a lease that a daemon hands out which is not, or no longer, the head. */
    @Test
    void aGrantThatDoesNotComeFromTheHeadIsDropped() throws IOException {
        try (var cluster = startOneCore();
                var peer = PlainPeer.connect(PEER_IP, cluster.core(0), internalPort(cluster));
                var edge = PlainPeer.connect(EDGE_IP, cluster.core(0), internalPort(cluster))) {
            edge.send(renewal(1, REPORTER_ROLE));
            var token = grantedToken(edge, REPORTER_ROLE);
            peer.send(grant(REPORTER_ROLE, token + 1));
            peer.send(new RecordWriter(RecordType.SHELL_QUERY).text("leases").bytes());
            peer.next(RecordType.SHELL_RESPONSE); // the grant before it was dealt with
            edge.send(renewal(2, OTHER_ROLE));
            assertTrue(grantedToken(edge, OTHER_ROLE) > 0, "no other grant came before it");
        }
    }
}
