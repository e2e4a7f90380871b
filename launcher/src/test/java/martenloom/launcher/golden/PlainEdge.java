package martenloom.launcher.golden;

import java.util.List;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.EdgeRecord;
import martenloom.common.fleet.RecordType;

/** An edge as far as its home needs to know it: its settings, and the renewals of its lease. */
final class PlainEdge {
    private static final long INCARNATION = 42;
    private static final int CONFIGURATION_REVISION = 3;

    private PlainEdge() {}

    /**
     * The settings of an edge that runs alone and whose home is played by a socket.
     *
     * @param network the number of its loopback network
     * @param port the one port of its links, its clients and its readiness
     */
    static String settings(int network, String ip, String homeIp, int port) {
        return """
        NodeName = "edge-plain"
        IpAddress = "%1$s"
        Zone = "north-a"
        Region = "north"
        InternalPortRange = [%3$d, %3$d]
        SeedNodes = ["%2$s:8166"]
        Serves = ["edge"]
        HeartbeatIntervalMs = 300
        [Zones]
        north-a = "north"
        south-b = "south"
        west-c = "west"
        [ListenAddresses]
        Frontend = "127.%4$d.3.10:%3$d"
        Readiness = "127.%4$d.4.10:%3$d"
        """
                .formatted(ip, homeIp, port, network);
    }

    /** The renewal of an edge's lease, which asks for these roles and permits. */
    static byte[] renewal(
            String ip, long sequence, boolean leaving, List<String> roles, List<String> warming) {
        var edge = new EdgeRecord();
        edge.setIp(ip);
        edge.setName("edge-plain");
        edge.setZone("north-a");
        edge.setRegion("north");
        edge.setFrontendAddress(ip + ":8000");
        edge.setReady(!leaving);
        edge.setDraining(leaving);
        edge.setIncarnation(INCARNATION);
        edge.setSequence(sequence);
        edge.setConfigurationRevision(CONFIGURATION_REVISION);
        var out = new RecordWriter(RecordType.EDGE_LEASE_RENEWAL);
        edge.write(out, 0);
        return out.i64(CoreRecordsGoldenTest.STAMP_US + sequence)
                .text(holder(ip))
                .texts(roles)
                .texts(warming)
                .bytes();
    }

    /** The name under which the edge holds leases. */
    static String holder(String ip) {
        return ip + "#2a";
    }
}
