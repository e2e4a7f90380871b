package martenloom.common.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.golden.GoldenBytes;
import org.junit.jupiter.api.Test;

/** The recorded bytes of the rows of the fleet's registry and the numbers of the record types. */
final class FleetRecordsGoldenTest {
    private static final long NOW_US = 50_000_000_000L;

    private final GoldenBytes golden = new GoldenBytes("fleet-records.txt");

    // ---- the values

    private static ReplicaRecord warmReplica() {
        var replica = new ReplicaRecord();
        replica.setId("replica-1");
        replica.setService("chat");
        replica.setAddress("10.9.3.10:9000");
        replica.setZone("north-a");
        replica.setCapacity(8);
        replica.setSequence(77);
        replica.setWarmFromUs(NOW_US);
        replica.setLastHeartbeatUs(NOW_US - 120_000);
        return replica;
    }

    private static ReplicaRecord endingReplica() {
        var replica = warmReplica();
        replica.setId("réplica-2");
        replica.setDraining(true);
        replica.setEnded(true);
        replica.setUnreachable(true);
        replica.setWarmFromUs(NOW_US + 1_500_000);
        replica.setDrainDeadlineUs(NOW_US + 9_000_000);
        replica.setLastHeartbeatUs(NOW_US - 4_000_000);
        return replica;
    }

    private static EdgeRecord readyEdge() {
        var edge = new EdgeRecord();
        edge.setIp("10.9.2.10");
        edge.setName("edge-north-1");
        edge.setZone("north-a");
        edge.setRegion("north");
        edge.setFrontendAddress("10.9.2.10:8000");
        edge.setReady(true);
        edge.setIncarnation(0x1122334455667788L);
        edge.setSequence(5);
        edge.setConfigurationRevision(12);
        edge.setLastRenewalUs(NOW_US - 400_000);
        return edge;
    }

    private static EdgeRecord leavingEdge() {
        var edge = readyEdge();
        edge.setReady(false);
        edge.setDraining(true);
        edge.setIncarnation(-2);
        return edge;
    }

    private static byte[] encoded(ReplicaRecord replica) {
        var out = new RecordWriter();
        replica.write(out, NOW_US);
        return out.bytes();
    }

    private static byte[] encoded(EdgeRecord edge) {
        var out = new RecordWriter();
        edge.write(out, NOW_US);
        return out.bytes();
    }

    private ReplicaRecord replica(String name) {
        return ReplicaRecord.read(new RecordReader(golden.bytes(name), false), NOW_US);
    }

    private EdgeRecord edge(String name) {
        return EdgeRecord.read(new RecordReader(golden.bytes(name), false), NOW_US);
    }

    private static byte[] numbers(int... numbers) {
        var bytes = ByteBuffer.allocate(4 * numbers.length);
        for (var number : numbers) {
            bytes.putInt(number);
        }
        return bytes.array();
    }

    // ---- the checks

    @Test
    void replicasAreEncodedAsRecorded() {
        golden.check("replica.warm", encoded(warmReplica()));
        golden.check("replica.ending", encoded(endingReplica()));
        golden.check("replica.default", encoded(new ReplicaRecord()));
    }

    @Test
    void recordedReplicasAreDecodedAndEncodedAgain() {
        for (var name : new String[] {"replica.warm", "replica.ending", "replica.default"}) {
            golden.check(name, encoded(replica(name)));
        }
        var ending = replica("replica.ending");
        assertEquals("réplica-2", ending.id());
        assertEquals("chat", ending.service());
        assertEquals("10.9.3.10:9000", ending.address());
        assertEquals("north-a", ending.zone());
        assertEquals(8, ending.capacity());
        assertEquals(77, ending.sequence());
        assertTrue(ending.draining() && ending.ended() && ending.unreachable());
        assertEquals(NOW_US + 1_500_000, ending.warmFromUs());
        assertEquals(NOW_US + 9_000_000, ending.drainDeadlineUs());
        assertEquals(NOW_US - 4_000_000, ending.lastHeartbeatUs());
        assertEquals(Long.MAX_VALUE, replica("replica.warm").drainDeadlineUs());
    }

    @Test
    void edgesAreEncodedAsRecorded() {
        golden.check("edge.ready", encoded(readyEdge()));
        golden.check("edge.leaving", encoded(leavingEdge()));
    }

    @Test
    void recordedEdgesAreDecodedAndEncodedAgain() {
        golden.check("edge.ready", encoded(edge("edge.ready")));
        golden.check("edge.leaving", encoded(edge("edge.leaving")));
        var leaving = edge("edge.leaving");
        assertFalse(leaving.ready());
        assertTrue(leaving.draining());
        assertEquals("10.9.2.10", leaving.ip());
        assertEquals("edge-north-1", leaving.name());
        assertEquals("10.9.2.10:8000", leaving.frontendAddress());
        assertEquals(-2, leaving.incarnation());
        assertEquals(5, leaving.sequence());
        assertEquals(12, leaving.configurationRevision());
        assertEquals(NOW_US - 400_000, leaving.lastRenewalUs());
    }

    /** Digests are compared between daemons, and ranges must be the same at all of them. */
    @Test
    void digestsAndRangesAreAsRecorded() {
        golden.check("replica.digests", numbers(warmReplica().digest(), endingReplica().digest()));
        golden.check("edge.digests", numbers(readyEdge().digest(), leavingEdge().digest()));
        golden.check(
                "ranges",
                numbers(
                        DigestRanges.COUNT,
                        DigestRanges.of(""),
                        DigestRanges.of("replica-1"),
                        DigestRanges.of("réplica-2"),
                        DigestRanges.of("10.9.2.10")));
    }

    @Test
    void theTypesHaveTheirNumbers() {
        golden.check(
                "types",
                numbers(
                        RecordType.REGISTRY_UPDATE,
                        RecordType.REGISTRY_DIGEST,
                        RecordType.ORDER_REQUEST,
                        RecordType.ORDER_RESPONSE,
                        RecordType.LEASE_REQUEST,
                        RecordType.LEASE_GRANT,
                        RecordType.HELLO,
                        RecordType.KNOWN_PEERS,
                        RecordType.CONFIRMED_REGISTRY_UPDATE,
                        RecordType.EDGE_LEASE_RENEWAL,
                        RecordType.EDGE_LEASE_RESPONSE,
                        RecordType.CONFIGURATION,
                        RecordType.REPLICA_UPDATE,
                        RecordType.RESYNC_REQUEST,
                        RecordType.JOB_LIST,
                        RecordType.EDGE_REQUEST,
                        RecordType.LOAD_SAMPLE,
                        RecordType.HOME_LOAD,
                        RecordType.TOTAL_LOAD,
                        RecordType.OVERLOAD_REPORT,
                        RecordType.SHELL_QUERY,
                        RecordType.SHELL_RESPONSE));
    }
}
