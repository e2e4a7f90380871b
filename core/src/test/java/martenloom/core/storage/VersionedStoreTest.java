package martenloom.core.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenloom.common.error.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The store over a stand-in disk that loses and tears what was not synced, and over a real folder.
 */
final class VersionedStoreTest {
    /** Names become lasting with the folder's sync; a loss of power undoes what was not. */
    private static final class StandInReplica implements VersionedStore.Folder {
        private final Map<String, byte[]> now = new TreeMap<>();
        private Map<String, byte[]> lasting = new TreeMap<>();
        private int refuse;

        @Override
        public List<String> names() {
            return List.copyOf(now.keySet());
        }

        @Override
        public byte[] read(String n) {
            return now.get(n);
        }

        @Override
        public void writeSynced(String n, byte[] b) {
            if (refuse-- > 0) {
                throw Fault.here(Fault.Code.DISK, "write", "refused");
            }
            now.put(n, b);
            lasting.put(n, b);
        }

        @Override
        public void rename(String a, String b) {
            now.put(b, now.remove(a));
        }

        @Override
        public void syncFolder() {
            lasting = new TreeMap<>(now);
        }

        @Override
        public void remove(String n) {
            now.remove(n);
        }

        private void losePower(boolean tear) {
            now.clear();
            now.putAll(lasting);
            if (tear) {
                now.put("member-00000000000000ff", new byte[] {0, 0, 0, 9, 1});
            }
        }
    }

    private static byte[] b(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void theNewestWholeVersionComesBackAfterALossOfPower() {
        var f = new StandInReplica();
        var s = new VersionedStore(f);
        s.keep(b("one"));
        s.keep(b("two"));
        f.losePower(true);
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
    }

    @Test
    void anEmptyFolderGivesNothingAndARefusedWriteIsTriedAgain() throws Exception {
        var f = new StandInReplica();
        assertTrue(new VersionedStore(f).load().isEmpty());
        f.refuse = 2;
        var done = new java.util.concurrent.CountDownLatch(1);
        new VersionedStore(f).keepLater(() -> b("late"), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(b("late"), new VersionedStore(f).load().get());
    }

    @Test
    void aNoteIsKeptBesideTheMemberStateAndATornOneIsNone() throws Exception {
        var f = new StandInReplica();
        var s = new VersionedStore(f);
        s.keep(b("one"));
        var done = new java.util.concurrent.CountDownLatch(1);
        s.noteLater("replicas", b("who"));
        s.keepLater(() -> b("two"), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(b("who"), new VersionedStore(f).note("replicas").get());
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
        f.now.put("replicas", new byte[] {1, 2, 3});
        assertTrue(new VersionedStore(f).note("replicas").isEmpty());
    }

    @Test
    void aRealFolderKeepsOneFileAVersion(@TempDir Path dir) {
        var s = new VersionedStore(new VersionedStore.RealFolder(dir.resolve("a").toString()));
        s.keep(b("one"));
        s.keep(b("two"));
        var f = new VersionedStore.RealFolder(dir.resolve("a").toString());
        assertEquals(1, f.names().size());
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
    }
}
