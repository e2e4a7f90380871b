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
import java.util.TreeMap;
import java.util.function.Consumer;
import martenloom.common.error.MartenloomException;
import martenloom.common.error.StorageException;
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
        public byte[] read(String n) {
            return now.get(n);
        }

        @Override
        public void writeSynced(String n, byte[] b) {
            if (refusedWrites-- > 0) {
                throw new StorageException("write", "refused");
            }
            var used =
                    now.entrySet().stream()
                            .filter(e -> !e.getKey().equals(n))
                            .mapToInt(e -> e.getValue().length)
                            .sum();
            if (used + b.length > freeBytes) {
                apply(names -> names.put(n, Arrays.copyOf(b, Math.max(0, freeBytes - used))));
                throw new StorageException("write", "no space left");
            }
            if (steps + 1 >= killAtStep) {
                apply(names -> names.put(n, Arrays.copyOf(b, b.length / 2)));
            }
            step();
            apply(names -> names.put(n, b));
            lasting.computeIfPresent(n, (name, old) -> b);
        }

        @Override
        public void rename(String a, String b) {
            step();
            apply(names -> Optional.ofNullable(names.remove(a)).ifPresent(x -> names.put(b, x)));
        }

        @Override
        public void syncFolder() {
            step();
            lasting = new TreeMap<>(now);
            sinceSync.clear();
        }

        @Override
        public void remove(String n) {
            step();
            apply(names -> names.remove(n));
        }

        private void losePower(Random rnd) {
            sinceSync.stream().filter(x -> rnd.nextBoolean()).forEach(x -> x.accept(lasting));
            now = new TreeMap<>(lasting);
            sinceSync.clear();
        }

        private void restart() {
            killAtStep = Integer.MAX_VALUE;
            steps = 0;
        }
    }

    private static byte[] b(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void whatIsLeftOfAnUnfinishedWriteIsPassedOver() {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        s.write(b("two"));
        f.now.put("member-0000000000000003.aside", new byte[] {0, 0, 0, 9, 1});
        var again = new VersionedStore(f);
        assertArrayEquals(b("two"), again.load().get());
        assertFalse(again.isDamaged());
        again.write(b("three"));
        assertArrayEquals(b("three"), new VersionedStore(f).load().get());
        assertEquals(1, f.names().size(), "it is written over");
    }

    /**
     * No unfinished write leaves it so: a promise may have been in it, and an older version must
     * not be taken instead.
     */
    @Test
    void aNewestVersionThatIsNotWholeIsALostDiskUntilTheNextIsKept() {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        var first = f.now.get(FIRST);
        s.write(b("two"));
        f.now.put(FIRST, first);
        f.now.get(SECOND)[25 - 3] ^= 1;
        var again = new VersionedStore(f);
        assertTrue(again.load().isEmpty());
        assertTrue(again.isDamaged());
        again.write(b("learned"));
        var healed = new VersionedStore(f);
        assertArrayEquals(b("learned"), healed.load().get());
        assertFalse(healed.isDamaged());
        assertEquals(1, f.names().size());
    }

    @Test
    void aVersionThatWasKeptAndIsGoneIsALostDisk() {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        s.write(b("two"));
        f.now.clear();
        f.now.put("member-0000000000000003.aside", new byte[] {1});
        var again = new VersionedStore(f);
        assertTrue(again.load().isEmpty());
        assertTrue(again.isDamaged(), "version 2 must have been there");
    }

    /**
     * Killed at every step of a series of writes, then with or without a loss of power, over and
     * over.
     */
    @Test
    void noKillAndNoLossOfPowerForgetsWhatWasKeptOrLooksLikeDamage() {
        var rnd = new Random(14);
        for (var round = 0; round < 4000; round++) {
            var f = new SimulatedFolder();
            var kept = 0;
            var tried = 0;
            for (var life = 0; life < 4; life++) {
                f.restart();
                f.killAtStep = 1 + rnd.nextInt(14);
                try {
                    var s = new VersionedStore(f);
                    var found = s.load();
                    assertFalse(s.isDamaged(), "round " + round);
                    var at =
                            found.map(x -> Integer.parseInt(new String(x, StandardCharsets.UTF_8)))
                                    .orElse(0);
                    assertTrue(
                            at >= kept && at <= tried,
                            "round " + round + ": found " + at + " of " + kept + " to " + tried);
                    kept = at;
                    tried = at;
                    for (var i = 0; i < 3; i++) {
                        tried++;
                        s.write(b("" + tried));
                        kept = tried;
                    }
                } catch (SimulatedFolder.Killed killed) {
                    if (rnd.nextBoolean()) {
                        f.losePower(rnd);
                    }
                }
            }
        }
    }

    @Test
    void oldVersionsGoAlsoAfterAKillBeforeTheirRemoval() {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        f.restart();
        f.killAtStep = 4;
        assertThrows(SimulatedFolder.Killed.class, () -> s.write(b("two")));
        assertEquals(2, f.names().size());
        f.restart();
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
        assertEquals(List.of(SECOND), f.names());
    }

    @Test
    void aFullDiskKeepsTheNewestVersion() {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        f.freeBytes = 30;
        assertThrows(
                MartenloomException.class,
                () -> s.write(b("a longer version than there is space for")));
        var again = new VersionedStore(f);
        assertArrayEquals(b("one"), again.load().get());
        f.freeBytes = 200;
        again.write(b("a longer version than there is space for"));
        assertEquals(1, f.names().size());
    }

    @Test
    void anEmptyFolderGivesNothingAndARefusedWriteIsTriedAgain() throws Exception {
        var f = new SimulatedFolder();
        assertTrue(new VersionedStore(f).load().isEmpty());
        f.refusedWrites = 2;
        var done = new java.util.concurrent.CountDownLatch(1);
        new VersionedStore(f).writeAsync(() -> b("late"), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(b("late"), new VersionedStore(f).load().get());
    }

    @Test
    void aNoteIsKeptBesideTheMemberStateAndATornOneIsNone() throws Exception {
        var f = new SimulatedFolder();
        var s = new VersionedStore(f);
        s.write(b("one"));
        var done = new java.util.concurrent.CountDownLatch(1);
        s.writeCheckpointAsync("replicas", b("who"));
        s.writeAsync(() -> b("two"), done::countDown);
        assertTrue(done.await(10, java.util.concurrent.TimeUnit.SECONDS));
        assertArrayEquals(b("who"), new VersionedStore(f).readCheckpoint("replicas").get());
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
        f.now.put("replicas", new byte[] {1, 2, 3});
        assertTrue(new VersionedStore(f).readCheckpoint("replicas").isEmpty());
    }

    @Test
    void aRealFolderKeepsOneFileAVersion(@TempDir Path dir) {
        var s = new VersionedStore(new FileSystemFolder(dir.resolve("a").toString()));
        s.write(b("one"));
        s.write(b("two"));
        var f = new FileSystemFolder(dir.resolve("a").toString());
        assertEquals(1, f.names().size());
        assertArrayEquals(b("two"), new VersionedStore(f).load().get());
    }
}
