package martenloom.core.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;
import martenloom.common.clock.Clocks;
import martenloom.common.fleet.ReplicaRecord;
import martenloom.core.chain.Ballot;
import martenloom.core.chain.PersistentMemberState;
import martenloom.core.registry.Registry;
import martenloom.core.state.ClusterState;
import martenloom.core.storage.FileSystemFolder;
import martenloom.core.storage.VersionedStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Holds the names and the bytes of the files of a core member, and what is found in a folder that
 * an earlier life left behind: whole, with a torn newest version, or with a version missing. The
 * time of day in the head of a file is the one thing that differs between runs; written files are
 * compared after it has been set to a fixed one.
 */
final class StoredFolderGoldenTest {
    private static final String WRITTEN = "folder-written.txt";
    private static final String KILLED = "folder-after-kill.txt";
    private static final String TORN = "folder-torn-newest.txt";
    private static final String MISSING = "folder-missing-version.txt";
    private static final String NOTE = "replicas";
    private static final String FIRST = "member-0000000000000001";
    private static final String SECOND = "member-0000000000000002";
    private static final String THIRD = "member-0000000000000003";
    private static final String FOURTH = "member-0000000000000004";
    private static final int HEAD_BYTES = 20;
    private static final int SUM_AT = 4;
    private static final int TIME_AT = 12;
    private static final long FIXED_TIME_MS = 1_700_000_000_000L;
    private static final long TEN_MINUTES_US = 600_000_000;
    private static final long FLUSH_MS = 10_000;
    private static final long BEAT_US = 300_000;
    private static final long SECOND_US = 1_000_000;

    @TempDir private Path folder;

    /** What the member keeps as its versions 1, 2 and 3. */
    private static List<PersistentMemberState> versions() {
        var founded = ClusterState.founded(List.of("10.0.0.1", "10.1.0.1"));
        var none = Ballot.ZERO;
        var older = new Ballot(11, "10.0.0.1");
        var newer = new Ballot(12, "10.1.0.1");
        return List.of(
                new PersistentMemberState(none, none, founded),
                new PersistentMemberState(older, none, founded),
                new PersistentMemberState(newer, older, FilledState.build()));
    }

    /** The note of the most edges and homes ever known, and of replicas of every kind. */
    private static byte[] note() {
        var nowUs = Clocks.nowUs();
        var registry = new Registry(BEAT_US);
        registry.take(replica("running", nowUs), true);
        var warming = replica("warming", nowUs);
        warming.setWarmFromUs(nowUs + 9 * SECOND_US);
        registry.take(warming, true);
        var leaving = replica("draining", nowUs);
        leaving.setDraining(true);
        leaving.setDrainDeadlineUs(nowUs + 30 * SECOND_US);
        registry.take(leaving, true);
        var silent = replica("silent", nowUs - 4 * SECOND_US);
        silent.setUnreachable(true);
        registry.take(silent, true);
        registry.take(replica("ended", nowUs), true);
        registry.bury("ended", nowUs);
        registry.bury("never-heard", nowUs);
        return registry.memo(17, 3, nowUs + 2 * SECOND_US);
    }

    private static ReplicaRecord replica(String id, long heardUs) {
        var replica = new ReplicaRecord();
        replica.setId(id);
        replica.setService("s");
        replica.setAddress("10.0.0.9:8080");
        replica.setZone("north-a");
        replica.setCapacity(8);
        replica.setSequence(41);
        replica.setLastHeartbeatUs(heardUs);
        return replica;
    }

    /** Each file by its name as it is kept in the folder, with the fixed time. */
    private static Map<String, byte[]> writtenInto(Path folder) {
        var real = new FileSystemFolder(folder.toString());
        var store = new VersionedStore(real);
        store.load();
        var files = new LinkedHashMap<String, byte[]>();
        for (var version : versions()) {
            var fromMs = System.currentTimeMillis();
            store.write(version.encode());
            assertEquals(1, real.names().size(), "older versions are removed");
            var name = real.names().get(0);
            var file = real.read(name);
            var timeMs = ByteBuffer.wrap(file).getLong(TIME_AT);
            assertTrue(timeMs >= fromMs && timeMs <= System.currentTimeMillis(), "time " + timeMs);
            files.put(name, withFixedTime(file));
        }
        store.writeCheckpointAsync(NOTE, note());
        store.flush(FLUSH_MS);
        assertEquals(List.of(THIRD, NOTE), real.names());
        files.put(NOTE, withFixedTime(real.read(NOTE)));
        return files;
    }

    /** The same file as if it had been written at the fixed time, if its check sum was right. */
    private static byte[] withFixedTime(byte[] file) {
        assertEquals(sum(file), ByteBuffer.wrap(file).getLong(SUM_AT), "check sum");
        var fixed = ByteBuffer.wrap(file.clone()).putLong(TIME_AT, FIXED_TIME_MS);
        return fixed.putLong(SUM_AT, sum(fixed.array())).array();
    }

    private static long sum(byte[] file) {
        var sum = new CRC32();
        sum.update(file, TIME_AT, file.length - TIME_AT);
        return sum.getValue();
    }

    private VersionedStore recorded(String fileName) throws IOException {
        for (var file : GoldenFile.read(fileName).entrySet()) {
            Files.write(folder.resolve(file.getKey()), file.getValue());
        }
        return new VersionedStore(new FileSystemFolder(folder.toString()));
    }

    private List<String> names() {
        return new FileSystemFolder(folder.toString()).names();
    }

    private static byte[] content(byte[] file) {
        return Arrays.copyOfRange(file, HEAD_BYTES, file.length);
    }

    private static void assertState(PersistentMemberState expected, Optional<byte[]> found) {
        var member = PersistentMemberState.decode(found.orElseThrow());
        assertEquals(expected.promised(), member.promised());
        assertEquals(expected.accepted(), member.accepted());
        GoldenFile.assertSameBytes("state", expected.state().bytes(), member.state().bytes());
        GoldenFile.assertSameBytes("member", expected.encode(), found.get());
    }

    @Test
    void filesAreWrittenAsRecorded() {
        GoldenFile.assertRecorded(GoldenFile.read(WRITTEN), writtenInto(folder));
    }

    @Test
    void everyRecordedVersionIsFoundAsTheOnlyOne() throws IOException {
        var recorded = GoldenFile.read(WRITTEN);
        var names = List.of(FIRST, SECOND, THIRD);
        for (var i = 0; i < names.size(); i++) {
            var alone = Files.createDirectory(folder.resolve("alone-" + i));
            Files.write(alone.resolve(names.get(i)), recorded.get(names.get(i)));
            var store = new VersionedStore(new FileSystemFolder(alone.toString()));
            assertState(versions().get(i), store.load());
            assertFalse(store.isDamaged());
            assertEquals(TEN_MINUTES_US, store.downtimeUs());
        }
    }

    /** Killed before older versions were removed, and a write of the next was under way. */
    @Test
    void theNewestOfSeveralVersionsIsFoundAndTheOthersAreRemoved() throws IOException {
        var store = recorded(KILLED);
        assertState(versions().get(2), store.load());
        assertFalse(store.isDamaged());
        assertEquals(List.of(THIRD, FOURTH + ".aside", NOTE), names());
        var recordedNote = content(GoldenFile.read(WRITTEN).get(NOTE));
        GoldenFile.assertSameBytes(NOTE, recordedNote, store.readCheckpoint(NOTE).orElseThrow());
        store.write(versions().get(0).encode());
        assertEquals(List.of(FOURTH, NOTE), names());
    }

    @Test
    void aTornNewestVersionIsALostDiskWhoseNoteIsStillRead() throws IOException {
        var store = recorded(TORN);
        assertTrue(store.load().isEmpty());
        assertTrue(store.isDamaged());
        assertEquals(0, store.downtimeUs());
        assertEquals(List.of(SECOND, THIRD, NOTE), names(), "nothing is removed");
        var recordedNote = content(GoldenFile.read(WRITTEN).get(NOTE));
        GoldenFile.assertSameBytes(NOTE, recordedNote, store.readCheckpoint(NOTE).orElseThrow());
        store.write(versions().get(2).encode());
        assertEquals(List.of(FOURTH, NOTE), names());
        var healed = new VersionedStore(new FileSystemFolder(folder.toString()));
        assertState(versions().get(2), healed.load());
        assertFalse(healed.isDamaged());
    }

    @Test
    void aMissingVersionIsALostDiskAndATornNoteIsNone() throws IOException {
        var store = recorded(MISSING);
        assertTrue(store.load().isEmpty());
        assertTrue(store.isDamaged());
        assertTrue(store.readCheckpoint(NOTE).isEmpty());
        store.write(versions().get(2).encode());
        assertEquals(List.of(FOURTH, NOTE), names());
    }
}
