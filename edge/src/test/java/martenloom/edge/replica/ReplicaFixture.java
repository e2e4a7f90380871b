package martenloom.edge.replica;

import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;

/** A replica table of an edge for tests, and registrations of replicas in its zone. */
public final class ReplicaFixture {
    private static final String SETTINGS =
            """
            NodeName = "edge"
            IpAddress = "10.0.0.1"
            Zone = "zone"
            Region = "region"
            InternalPortRange = [1,2]
            SeedNodes = []
            Serves = []
            [Zones]
            zone = "region"
            [ListenAddresses]
            """;

    private ReplicaFixture() {}

    /** The settings of the edge. */
    public static Settings settings() {
        return SettingsFile.parse(SETTINGS);
    }

    /** A table without replicas. */
    public static ReplicaTable table() {
        return new ReplicaTable(settings());
    }

    /** A registration of a replica that serves. */
    public static ReplicaRecord registration(String id, long sequence) {
        var registration = new ReplicaRecord();
        registration.setId(id);
        registration.setService("service");
        registration.setAddress("10.0.0.9:80");
        registration.setZone("zone");
        registration.setSequence(sequence);
        return registration;
    }

    /** Registers a replica in a table. */
    public static ReplicaEndpoint replica(ReplicaTable table, String id) {
        table.register(registration(id, 1));
        return table.find(id).orElseThrow();
    }
}
