package martenloom.core.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.StorageException;
import martenloom.common.jobs.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The store over a simulated folder that loses and tears what was not synced, and over a real
 * folder.
 */
final class VersionedStoreTest {
    private static final String FIRST = "member-0000000000000001";
    private static final String SECOND = "member-0000000000000002";

    /**
     * A folder whose names last only with its own sync: at a loss of power each file that was made,
     * renamed or removed since then is kept or lost by itself. The content of a file lasts with the
     * sync of its writing; a process that is killed within a write leaves a part of it. A rename is
     * modelled by name, which is the worst reading.
     */
    private static final class SimulatedFolder implements StorageFolder {
        private static final class Killed extends Error {}

        private Map<String, byte[]> now = new TreeMap<>();
        private Map<String, byte[]> lasting = new TreeMap<>();
        private final List<Consumer<Map<String, byte[]>>> sinceSync = new ArrayList<>();
        private int refusedWrites;
        private int killAtStep = Integer.MAX_VALUE;
        private int steps;
        private int freeBytes = Integer.MAX_VALUE;

        private void step() {
            if (++steps >= killAtStep) {
                throw new Killed();
            }
        }

        private void apply(Consumer<Map<String, byte[]>> change) {
            change.accept(now);
            sinceSync.add(change);
        }

        @Override
        public List<String> names() {
            return List.copyOf(now.keySet());
        }

        @Override
        public byte[] read(String name) {
            return now.get(name);
        }

        @Override
        public AppendedFile create(String name) {
            throw new UnsupportedOperationException("a store of versions appends to no file");
        }

        @Override
        public void writeSynced(String name, byte[] content) {
            if (refusedWrites-- > 0) {
                throw new StorageException("write", "refused");
            }
            var used =
                    now.entrySet().stream()
                            .filter(entry -> !entry.getKey().equals(name))
                            .mapToInt(entry -> entry.getValue().length)
                            .sum();
            if (used + content.length > freeBytes) {
                apply(
                        names ->
                                names.put(
                                        name,
                                        Arrays.copyOf(content, Math.max(0, freeBytes - used))));
                throw new StorageException("write", "no space left");
            }
            if (steps + 1 >= killAtStep) {
                apply(names -> names.put(name, Arrays.copyOf(content, content.length / 2)));
            }
            step();
            apply(names -> names.put(name, content));
            lasting.computeIfPresent(name, (unused, old) -> content);
        }

        @Override
        public void rename(String from, String to) {
            step();
            apply(
                    names ->
                            Optional.ofNullable(names.remove(from))
                                    .ifPresent(content -> names.put(to, content)));
        }

        @Override
        public void syncFolder() {
            step();
            lasting = new TreeMap<>(now);
            sinceSync.clear();
        }

        @Override
        public void remove(String name) {
            step();
            apply(names -> names.remove(name));
        }

        private void losePower(Random random) {
            sinceSync.stream()
                    .filter(change -> random.nextBoolean())
                    .forEach(change -> change.accept(lasting));
            now = new TreeMap<>(lasting);
            sinceSync.clear();
        }

        private void restart() {
            killAtStep = Integer.MAX_VALUE;
            steps = 0;
        }
    }

    private static int number(byte[] content) {
        return Integer.parseInt(new String(content, StandardCharsets.UTF_8));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void whatIsLeftOfAnUnfinishedWriteIsIgnored() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        store.write(bytes("two"));
        folder.now.put("member-0000000000000003.aside", new byte[] {0, 0, 0, 9, 1});
        var again = new VersionedStore(folder);
        assertArrayEquals(bytes("two"), again.load().get());
        assertFalse(again.isDamaged());
        again.write(bytes("three"));
        assertArrayEquals(bytes("three"), new VersionedStore(folder).load().get());
        assertEquals(1, folder.names().size(), "it is written over");
    }

    /**
     * No unfinished write leaves it so: a promise may have been in it, and an older version must
     * not be taken instead.
     */
    @Test
    void anIncompleteNewestVersionIsALostDiskUntilTheNextIsWritten() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        var first = folder.now.get(FIRST);
        store.write(bytes("two"));
        folder.now.put(FIRST, first);
        folder.now.get(SECOND)[25 - 3] ^= 1;
        var again = new VersionedStore(folder);
        assertTrue(again.load().isEmpty());
        assertTrue(again.isDamaged());
        again.write(bytes("learned"));
        var healed = new VersionedStore(folder);
        assertArrayEquals(bytes("learned"), healed.load().get());
        assertFalse(healed.isDamaged());
        assertEquals(1, folder.names().size());
    }

    @Test
    void aVersionThatWasWrittenAndIsMissingIsALostDisk() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        store.write(bytes("two"));
        folder.now.clear();
        folder.now.put("member-0000000000000003.aside", new byte[] {1});
        var again = new VersionedStore(folder);
        assertTrue(again.load().isEmpty());
        assertTrue(again.isDamaged(), "version 2 must have been there");
    }

    /**
     * Killed at every step of a series of writes, then with or without a loss of power, over and
     * over.
     */
    @Test
    void noKillAndNoLossOfPowerForgetsWhatWasWrittenOrLooksLikeDamage() {
        var random = new Random(14);
        for (var round = 0; round < 4000; round++) {
            var folder = new SimulatedFolder();
            var kept = 0;
            var tried = 0;
            for (var incarnation = 0; incarnation < 4; incarnation++) {
                folder.restart();
                folder.killAtStep = 1 + random.nextInt(14);
                try {
                    var store = new VersionedStore(folder);
                    var found = store.load();
                    assertFalse(store.isDamaged(), "round " + round);
                    var at = found.map(VersionedStoreTest::number).orElse(0);
                    assertTrue(
                            at >= kept && at <= tried,
                            "round " + round + ": found " + at + " of " + kept + " to " + tried);
                    kept = at;
                    tried = at;
                    for (var i = 0; i < 3; i++) {
                        tried++;
                        store.write(bytes("" + tried));
                        kept = tried;
                    }
                } catch (SimulatedFolder.Killed killed) {
                    if (random.nextBoolean()) {
                        folder.losePower(random);
                    }
                }
            }
        }
    }

    /** A version that names contents of its own and of the version before it. */
    private static StoredVersion naming(int version) {
        var contents = new TreeMap<String, Content>();
        for (var named = Math.max(1, version - 1); named <= version; named++) {
            var content = content(named);
            contents.put(content.digest(), content);
        }
        return new StoredVersion(bytes("" + version), contents);
    }

    private static Content content(int number) {
        return Content.of(bytes("content " + number));
    }

    @Test
    void noKillAndNoLossOfPowerLosesAContentThatAVersionNames() {
        var random = new Random(15);
        for (var round = 0; round < 4000; round++) {
            var folder = new SimulatedFolder();
            var kept = 0;
            for (var incarnation = 0; incarnation < 4; incarnation++) {
                folder.restart();
                folder.killAtStep = 1 + random.nextInt(24);
                try {
                    var store = new VersionedStore(folder);
                    var at = store.load().map(VersionedStoreTest::number).orElse(0);
                    assertTrue(at >= kept, "round " + round);
                    kept = at;
                    for (var digest : at == 0 ? Set.<String>of() : naming(at).contents().keySet()) {
                        assertTrue(store.content(digest).isPresent(), "round " + round);
                    }
                    for (var i = 0; i < 3; i++) {
                        store.write(naming(kept + 1));
                        kept++;
                    }
                } catch (SimulatedFolder.Killed killed) {
                    if (random.nextBoolean()) {
                        folder.losePower(random);
                    }
                }
            }
        }
    }

    @Test
    void aContentIsWrittenOnceAndRemovedWhenNoVersionNamesIt() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(naming(1));
        store.write(naming(2));
        assertEquals(
                Set.of(SECOND, "content-" + content(1).digest(), "content-" + content(2).digest()),
                Set.copyOf(folder.names()));
        folder.restart();
        store.write(naming(2));
        var withoutContents = folder.steps;
        folder.restart();
        store.write(naming(3));
        assertTrue(folder.steps > withoutContents);
        assertFalse(folder.names().contains("content-" + content(1).digest()));
    }

    @Test
    void aContentThatIsTornOrMissingIsNotFound() {
        var folder = new SimulatedFolder();
        new VersionedStore(folder).write(naming(2));
        folder.now.put("content-" + content(1).digest(), bytes("conten"));
        folder.now.remove("content-" + content(2).digest());
        var store = new VersionedStore(folder);
        assertTrue(store.load().isPresent());
        assertTrue(store.content(content(1).digest()).isEmpty());
        assertTrue(store.content(content(2).digest()).isEmpty());
        store.onContentMissing();
        assertTrue(store.isDamaged());
    }

    @Test
    void oldVersionsGoAlsoAfterAKillBeforeTheirRemoval() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        folder.restart();
        folder.killAtStep = 4;
        assertThrows(SimulatedFolder.Killed.class, () -> store.write(bytes("two")));
        assertEquals(2, folder.names().size());
        folder.restart();
        assertArrayEquals(bytes("two"), new VersionedStore(folder).load().get());
        assertEquals(List.of(SECOND), folder.names());
    }

    @Test
    void aFullDiskKeepsTheNewestVersion() {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        folder.freeBytes = 30;
        assertThrows(
                MartenloomException.class,
                () -> store.write(bytes("a longer version than there is space for")));
        var again = new VersionedStore(folder);
        assertArrayEquals(bytes("one"), again.load().get());
        folder.freeBytes = 200;
        again.write(bytes("a longer version than there is space for"));
        assertEquals(1, folder.names().size());
    }

    @Test
    void anEmptyFolderGivesNothingAndARefusedWriteIsTriedAgain() throws Exception {
        var folder = new SimulatedFolder();
        assertTrue(new VersionedStore(folder).load().isEmpty());
        folder.refusedWrites = 2;
        var done = new java.util.concurrent.CountDownLatch(1);
        new VersionedStore(folder)
                .writeAsync(() -> StoredVersion.of(bytes("late")), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(bytes("late"), new VersionedStore(folder).load().get());
    }

    @Test
    void aCheckpointIsWrittenBesideTheMemberStateAndATornOneIsNone() throws Exception {
        var folder = new SimulatedFolder();
        var store = new VersionedStore(folder);
        store.write(bytes("one"));
        var done = new java.util.concurrent.CountDownLatch(1);
        store.writeCheckpointAsync("replicas", bytes("who"));
        store.writeAsync(() -> StoredVersion.of(bytes("two")), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(
                bytes("who"), new VersionedStore(folder).readCheckpoint("replicas").get());
        assertArrayEquals(bytes("two"), new VersionedStore(folder).load().get());
        folder.now.put("replicas", new byte[] {1, 2, 3});
        assertTrue(new VersionedStore(folder).readCheckpoint("replicas").isEmpty());
    }

    @Test
    void aRealFolderKeepsOneFileAVersion(@TempDir Path dir) {
        var store = new VersionedStore(new FileSystemFolder(dir.resolve("a").toString()));
        store.write(bytes("one"));
        store.write(bytes("two"));
        var folder = new FileSystemFolder(dir.resolve("a").toString());
        assertEquals(1, folder.names().size());
        assertArrayEquals(bytes("two"), new VersionedStore(folder).load().get());
    }
}
