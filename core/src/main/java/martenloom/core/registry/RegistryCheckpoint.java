package martenloom.core.registry;

import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.error.MartenloomException;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.storage.VersionedStore;

/**
 * Keeps the replicas and the {@link FleetSize} on disk, so that a core daemon that starts again
 * knows them. A checkpoint that cannot be read is ignored. Runs on the reactor thread; the writing
 * itself is done on the thread of the store.
 */
public final class RegistryCheckpoint {
    private static final String NAME = "replicas";

    /** Restored replicas count as warming up for so many intervals of their heartbeats. */
    private static final int WARMUP_HEARTBEATS = 2;

    private static final long US_PER_MS = 1_000;
    private static final int HASH_FACTOR = 31;

    private final VersionedStore store;
    private final Registry registry;
    private final FleetSize fleetSize;
    private final boolean restored;
    private int writtenDigest;

    /** Reads the checkpoint on disk into the registry and the fleet size. */
    public RegistryCheckpoint(
            Settings settings, VersionedStore store, Registry registry, FleetSize fleetSize) {
        this.store = store;
        this.registry = registry;
        this.fleetSize = fleetSize;
        var warmupUs = settings.heartbeatIntervalMs() * US_PER_MS * WARMUP_HEARTBEATS;
        var replicas =
                store.readCheckpoint(NAME)
                        .map(checkpoint -> restore(checkpoint, warmupUs))
                        .orElse(0);
        restored = replicas > 0;
        RingLog.debug("replicas restored: " + replicas);
    }

    private int restore(byte[] checkpoint, long warmupUs) {
        try {
            var in = new RecordReader(checkpoint, false);
            fleetSize.observeEdges(in.i32());
            fleetSize.observeHomes(in.i32());
            return registry.restoreReplicas(in, Clocks.nowUs(), warmupUs);
        } catch (MartenloomException e) {
            RingLog.error("the checkpoint of replicas is ignored: " + e.getMessage());
            return 0;
        }
    }

    /** Whether replicas were found on disk at the start. */
    public boolean isRestored() {
        return restored;
    }

    /** Writes the checkpoint again if its content has changed. */
    public void writeIfChanged() {
        var digest =
                (registry.checkpointDigest() * HASH_FACTOR + fleetSize.maxEdges()) * HASH_FACTOR
                        + fleetSize.maxHomes();
        if (digest != writtenDigest) {
            writtenDigest = digest;
            store.writeCheckpointAsync(NAME, encode(registry, fleetSize, Clocks.nowUs()));
        }
    }

    /** The content of a checkpoint. */
    public static byte[] encode(Registry registry, FleetSize fleetSize, long nowUs) {
        var out = new RecordWriter().i32(fleetSize.maxEdges()).i32(fleetSize.maxHomes());
        return registry.writeReplicas(out, nowUs).bytes();
    }
}
