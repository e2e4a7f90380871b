package martenloom.core.api;

import com.typesafe.config.Config;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.IpPort;
import martenloom.routing.configuration.JsonText;

/** Reads the heartbeat of a replica into its row of the registry. */
final class HeartbeatReader {
    private static final long US_PER_MS = 1_000;

    private HeartbeatReader() {}

    /**
     * The row that a heartbeat makes.
     *
     * @throws martenloom.common.error.MartenloomException if the text is no heartbeat
     * @throws com.typesafe.config.ConfigException if a field is missing or has another type
     */
    static ReplicaRecord read(String id, String json, long nowUs) {
        var heartbeat = JsonText.parse(json);
        var replica = new ReplicaRecord();
        replica.setId(id);
        replica.setService(heartbeat.getString("Backend"));
        replica.setAddress(heartbeat.getString("Address"));
        IpPort.parse("Address", replica.address());
        replica.setZone(heartbeat.getString("Zone"));
        replica.setCapacity(capacity(heartbeat));
        replica.setDraining(
                heartbeat.hasPath("State") && heartbeat.getString("State").equals("draining"));
        replica.setSequence(heartbeat.getLong("Sequence"));
        replica.setWarmFromUs(nowUs + durationUs(heartbeat, "WarmupLeftMs"));
        replica.setDrainDeadlineUs(drainDeadlineUs(heartbeat, nowUs));
        replica.setLastHeartbeatUs(nowUs);
        return replica;
    }

    private static int capacity(Config heartbeat) {
        return heartbeat.hasPath("Capacity")
                ? Math.max(1, (int) heartbeat.getDouble("Capacity"))
                : 1;
    }

    private static long drainDeadlineUs(Config heartbeat, long nowUs) {
        return heartbeat.hasPath("RemainingMs")
                ? nowUs + durationUs(heartbeat, "RemainingMs")
                : ReplicaRecord.NO_DEADLINE;
    }

    private static long durationUs(Config heartbeat, String field) {
        return heartbeat.hasPath(field) ? (long) (heartbeat.getDouble(field) * US_PER_MS) : 0;
    }
}
