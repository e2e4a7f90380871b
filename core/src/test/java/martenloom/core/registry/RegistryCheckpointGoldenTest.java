package martenloom.core.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.common.settings.Settings;
import martenloom.common.settings.SettingsFile;
import martenloom.core.golden.GoldenFile;
import martenloom.core.storage.FileSystemFolder;
import martenloom.core.storage.VersionedStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Holds what a core daemon takes from the recorded note of replicas beside its state, and that it
 * writes the same note again. The ages and remainders in a row are left out of that, since they are
 * counted from the moment of the writing, and whether it is silent, which a restart forgets.
 */
final class RegistryCheckpointGoldenTest {
    private static final String NOTE = "replicas";
    private static final int BEAT_MS = 300;
    private static final long COLD_US = 600_000;
    private static final long FLUSH_MS = 10_000;
    private static final Settings SETTINGS =
            SettingsFile.parse(
                    """
                    NodeName = "core-1"
                    IpAddress = "10.0.0.1"
                    Zone = "north-a"
                    Region = "north"
                    InternalPortRange = [7000, 7100]
                    SeedNodes = []
                    HeartbeatIntervalMs = 300
                    Serves = []
                    [Zones]
                    north-a = "north"
                    [ListenAddresses]
                    """);

    @TempDir private Path folder;

    private final Registry registry = new Registry(BEAT_MS * 1000L);

    private VersionedStore store() {
        return new VersionedStore(new FileSystemFolder(folder.toString()));
    }

    private void putRecordedNote() throws IOException {
        Files.write(folder.resolve(NOTE), GoldenFile.read("folder-written.txt").get(NOTE));
    }

    /** The bytes of a note with all ages and remainders at 0 and no replica silent. */
    private static byte[] timeless(byte[] note) {
        var in = new RecordReader(note, false);
        var out = new RecordWriter().i32(in.i32()).i32(in.i32());
        var replicas = in.list(x -> ReplicaRecord.read(x, 0));
        for (var replica : replicas) {
            replica.setWarmFromUs(0);
            replica.setLastHeartbeatUs(0);
            replica.setUnreachable(false);
            if (replica.drainDeadlineUs() != Long.MAX_VALUE) {
                replica.setDrainDeadlineUs(0);
            }
        }
        return out.list(replicas, (o, replica) -> replica.write(o, 0)).bytes();
    }

    @Test
    void theRecordedNoteIsTakenAsItStands() throws IOException {
        putRecordedNote();
        var beforeUs = Clocks.nowUs();
        var checkpoint = new RegistryCheckpoint(SETTINGS, store(), registry);
        var afterUs = Clocks.nowUs();
        assertTrue(checkpoint.restored());
        assertEquals(17, checkpoint.mostEdges());
        assertEquals(3, checkpoint.mostHomes());
        var replicas =
                registry.replicas().stream()
                        .collect(Collectors.toMap(replica -> replica.id(), replica -> replica));
        assertEquals(
                List.of("draining", "ended", "never-heard", "running", "silent", "warming"),
                registry.replicas().stream().map(replica -> replica.id()).toList());
        assertRunning(replicas, beforeUs, afterUs);
        assertTrue(replicas.get("draining").draining());
        assertFalse(replicas.get("draining").ended());
        assertTrue(replicas.get("draining").drainDeadlineUs() >= beforeUs + 28_000_000);
        assertTrue(replicas.get("draining").drainDeadlineUs() <= afterUs + 28_000_000);
        assertFalse(replicas.get("silent").unreachable(), "a restart forgets that");
        assertTrue(replicas.get("warming").warmFromUs() >= beforeUs + 7_000_000);
        assertTrue(replicas.get("ended").ended());
        assertEquals(42, replicas.get("ended").sequence());
        assertTrue(
                replicas.get("ended").lastHeartbeatUs() <= afterUs - 2_000_000, "its age is kept");
        assertTrue(replicas.get("never-heard").ended());
        assertEquals("", replicas.get("never-heard").service());
    }

    private static void assertRunning(
            Map<String, ReplicaRecord> replicas, long beforeUs, long afterUs) {
        var running = replicas.get("running");
        assertEquals("s", running.service());
        assertEquals("10.0.0.9:8080", running.address());
        assertEquals("north-a", running.zone());
        assertEquals(8, running.capacity());
        assertEquals(41, running.sequence());
        assertFalse(running.draining());
        assertFalse(running.ended());
        assertEquals(Long.MAX_VALUE, running.drainDeadlineUs());
        assertTrue(running.lastHeartbeatUs() >= beforeUs && running.lastHeartbeatUs() <= afterUs);
        assertEquals(
                running.lastHeartbeatUs() + COLD_US,
                running.warmFromUs(),
                "cold until its next beat");
    }

    @Test
    void theNoteIsWrittenAgainWithTheSameContent() throws IOException {
        putRecordedNote();
        var store = store();
        var recorded = store.readCheckpoint(NOTE).orElseThrow();
        var checkpoint = new RegistryCheckpoint(SETTINGS, store, registry);
        Files.delete(folder.resolve(NOTE));
        checkpoint.keep();
        store.flush(FLUSH_MS);
        var written = store().readCheckpoint(NOTE).orElseThrow();
        assertEquals(recorded.length, written.length);
        GoldenFile.assertSameBytes(NOTE, timeless(recorded), timeless(written));
    }
}
