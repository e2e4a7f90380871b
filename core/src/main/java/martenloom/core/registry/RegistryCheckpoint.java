package martenloom.core.registry;

import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.error.MartenloomException;
import martenloom.common.log.RingLog;
import martenloom.common.settings.Settings;
import martenloom.core.storage.VersionedStore;

/**
 * What a core daemon remembers over a restart beside the state of the chain: the replicas, and the
 * most edges and the most homes of its region that it ever knew of. Both counts only grow. A note
 * on disk that cannot be read is passed over. Runs on the reactor thread; the writing itself is
 * done in the background.
 */
public final class RegistryCheckpoint {
    private static final String NOTE = "replicas";

    private final VersionedStore store;
    private final Registry registry;
    private final boolean restored;
    private int writtenDigest;
    private int mostEdges;
    private int mostHomes = 1;

    /** Reads the note on disk and puts its replicas into the registry. */
    public RegistryCheckpoint(Settings settings, VersionedStore store, Registry registry) {
        this.store = store;
        this.registry = registry;
        var coldUs = settings.heartbeatIntervalMs() * 2000L;
        var replicas = store.readCheckpoint(NOTE).map(note -> restore(note, coldUs)).orElse(0);
        restored = replicas > 0;
        RingLog.debug("replicas remembered: " + replicas);
    }

    private int restore(byte[] note, long coldUs) {
        try {
            var in = new RecordReader(note, false);
            mostEdges = in.i32();
            mostHomes = Math.max(1, in.i32());
            return registry.remember(in, Clocks.nowUs(), coldUs);
        } catch (MartenloomException f) {
            RingLog.error("the note of replicas is passed over: " + f.getMessage());
            return 0;
        }
    }

    /** Whether replicas were found on disk at the start. */
    public boolean restored() {
        return restored;
    }

    public int mostEdges() {
        return mostEdges;
    }

    public int mostHomes() {
        return mostHomes;
    }

    /** Takes over what another core daemon knows of the number of edges. */
    public void sawEdges(int edges) {
        mostEdges = Math.max(mostEdges, edges);
    }

    public void sawHomes(int homes) {
        mostHomes = Math.max(mostHomes, homes);
    }

    /** Writes the note again when it has changed. */
    public void keep() {
        var digest = (registry.noteDigest() * 31 + mostEdges) * 31 + mostHomes;
        if (digest != writtenDigest) {
            writtenDigest = digest;
            store.writeCheckpointAsync(NOTE, registry.memo(mostEdges, mostHomes, Clocks.nowUs()));
        }
    }
}
