package martenloom.core.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.zip.CRC32;
import martenloom.common.error.StorageException;
import martenloom.common.log.RingLog;

/**
 * The disk of a core member: one file for each version, written aside, synced, renamed, and the
 * folder synced, before the version counts as kept. Only then is anything promised or acknowledged
 * that rests on it. Every file opens with its length, check sum and time. Work runs on a thread of
 * its own, so a stalled disk never stops the reactor.
 *
 * <p>What an unfinished, never acknowledged write of version v can leave behind, whatever is lost
 * with the power: a file aside that is missing, torn or whole, or the whole file under its final
 * name (the rename came after the sync of its content), while the final file of version v - 1 is
 * still there, since nothing older is removed before the folder has been synced with v. So a file
 * aside proves nothing and is dropped, and the newest final file is always whole. A newest final
 * file that is not whole is therefore a damaged disk: a promise may have been in it. Then nothing
 * is taken from the disk, older versions included, and the member comes back as one that lost its
 * disk. The same holds for a file aside that is more than one version ahead of the newest final
 * file: the version between them was kept, and is gone.
 */
public final class VersionedStore {
    private static final String PREFIX = "member-";
    private static final String ASIDE = ".aside";
    private static final int HEAD = 20;
    private static final int TIME_AT = 12;
    private static final long NONE = -1;

    /**
     * What the store needs of a folder; a test puts a stand-in with torn and lost writes in its
     * place.
     */
    public interface Folder {
        List<String> names();

        byte[] read(String name);

        void writeSynced(String name, byte[] b);

        void rename(String from, String to);

        void syncFolder();

        void remove(String name);
    }

    private final Folder f;
    private final ExecutorService hand =
            Executors.newSingleThreadExecutor(
                    r -> {
                        var t = new Thread(r, "store");
                        t.setDaemon(true);
                        return t;
                    });
    private long version;
    private long keptAtMs;
    private boolean damaged;

    public VersionedStore(Folder f) {
        this.f = f;
    }

    /**
     * What was kept last; empty when nothing ever was, or when the disk is damaged (see the class).
     */
    public Optional<byte[]> load() {
        var names = f.names();
        var newest = names.stream().mapToLong(VersionedStore::versionOf).max().orElse(NONE);
        var newestAside =
                names.stream().mapToLong(VersionedStore::asideVersionOf).max().orElse(NONE);
        var found = newest > 0 ? whole(f.read(nameOf(newest))) : Optional.<byte[]>empty();
        damaged = newest > 0 && found.isEmpty() || newestAside > Math.max(0, newest) + 1;
        if (damaged) {
            RingLog.error(
                    "store: version "
                            + newest
                            + " is not whole or one after it is gone, the disk counts as lost");
            version = Math.max(newest, newestAside);
            return Optional.empty();
        }
        if (found.isPresent()) {
            // A process that was killed between the rename and the sync left a name that a loss of
            // power may still undo.
            f.syncFolder();
            version = newest;
            keptAtMs = ByteBuffer.wrap(found.get()).getLong(TIME_AT);
        }
        removeAllBut(newest);
        return found.map(b -> Arrays.copyOfRange(b, HEAD, b.length));
    }

    /**
     * Whether something was kept here that is not whole any more: this member may have promised
     * what it no longer knows.
     */
    public boolean damaged() {
        return damaged;
    }

    /**
     * How long ago the version found was kept, by the time of day, and no more than ten minutes: a
     * hint for due times across a restart and for nothing else. A clock that went backwards gives
     * 0.
     */
    public long awayUs() {
        return keptAtMs == 0
                ? 0
                : Math.max(0, Math.min(600_000, System.currentTimeMillis() - keptAtMs)) * 1000;
    }

    private static String nameOf(long v) {
        return PREFIX + String.format("%016x", v);
    }

    private static long versionOf(String name) {
        return name.startsWith(PREFIX) && !name.endsWith(ASIDE)
                ? number(name.substring(PREFIX.length()))
                : NONE;
    }

    private static long asideVersionOf(String name) {
        return name.startsWith(PREFIX) && name.endsWith(ASIDE)
                ? number(name.substring(PREFIX.length(), name.length() - ASIDE.length()))
                : NONE;
    }

    private static long number(String hex) {
        try {
            return Long.parseLong(hex, 16);
        } catch (NumberFormatException e) {
            return NONE;
        }
    }

    /**
     * Removes all other versions; a disk that refuses is asked again with the next version. What is
     * aside for the next version stays and will be written over: a name that is removed and made
     * again without a sync in between could come back with its old content.
     */
    private void removeAllBut(long v) {
        try {
            f.names().stream()
                    .filter(
                            n ->
                                    versionOf(n) > 0 && versionOf(n) != v
                                            || asideVersionOf(n) > 0 && asideVersionOf(n) <= v)
                    .forEach(f::remove);
        } catch (RuntimeException e) {
            RingLog.debug("store: an old version is not removed: " + e.getMessage());
        }
    }

    private static Optional<byte[]> whole(byte[] b) {
        if (b.length < HEAD) {
            return Optional.empty();
        }
        var bb = ByteBuffer.wrap(b);
        var n = bb.getInt();
        var sum = bb.getLong();
        if (n != b.length - HEAD) {
            return Optional.empty();
        }
        var c = new CRC32();
        c.update(b, 12, n + 8);
        return c.getValue() == sum ? Optional.of(b) : Optional.empty();
    }

    private static byte[] framed(byte[] b) {
        var bb =
                ByteBuffer.allocate(b.length + HEAD)
                        .putInt(b.length)
                        .putLong(0)
                        .putLong(System.currentTimeMillis())
                        .put(b);
        var c = new CRC32();
        c.update(bb.array(), 12, b.length + 8);
        bb.putLong(4, c.getValue());
        return bb.array();
    }

    /**
     * Keeps a note that may be lost, under a fixed name; it is tried once, behind whatever the
     * store has to do.
     */
    public void noteLater(String name, byte[] b) {
        hand.execute(
                () -> {
                    try {
                        f.writeSynced(name + ASIDE, framed(b));
                        f.rename(name + ASIDE, name);
                        f.syncFolder();
                    } catch (RuntimeException e) {
                        RingLog.debug("store: note " + name + " is not kept: " + e.getMessage());
                    }
                });
    }

    public Optional<byte[]> note(String name) {
        return f.names().contains(name)
                ? whole(f.read(name)).map(b -> Arrays.copyOfRange(b, HEAD, b.length))
                : Optional.empty();
    }

    /** Keeps a version, on the caller's thread. */
    public synchronized void keep(byte[] b) {
        var v = version + 1;
        var name = nameOf(v);
        f.writeSynced(name + ASIDE, framed(b));
        f.rename(name + ASIDE, name);
        f.syncFolder();
        version = v;
        removeAllBut(v);
    }

    /** Waits until all that was handed over has been written, or for as long as is given. */
    public void flush(long atMostMs) {
        try {
            hand.submit(() -> {}).get(atMostMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            RingLog.debug(
                    "store: the last version is not written: " + e.getClass().getSimpleName());
        }
    }

    /**
     * Keeps a version on the store's thread, trying again for as long as the disk refuses, then
     * tells.
     */
    public void keepLater(Supplier<byte[]> b, Runnable done) {
        hand.execute(
                () -> {
                    while (true) {
                        try {
                            keep(b.get());
                            done.run();
                            return;
                        } catch (RuntimeException e) {
                            RingLog.error("store: " + e.getMessage());
                            pause();
                        }
                    }
                });
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A real folder. */
    public static final class RealFolder implements Folder {
        private final Path dir;

        public RealFolder(String path) {
            dir = Path.of(path);
            run("open " + path, () -> Files.createDirectories(dir));
            syncParents(dir.toAbsolutePath().getParent());
        }

        /**
         * Makes the folder last: a name that was just made is lost with the power unless its folder
         * is synced, and a life before this one may have ended in between. Where a folder above may
         * not be opened, it was not made by us.
         */
        private static void syncParents(Path folder) {
            try {
                sync(folder);
            } catch (IOException e) {
                RingLog.debug("store: " + folder + " is not synced: " + e.getMessage());
            }
        }

        private static void sync(Path folder) throws IOException {
            try (var c = FileChannel.open(folder, StandardOpenOption.READ)) {
                c.force(true);
            }
        }

        @FunctionalInterface
        private interface Act<T> {
            T run() throws IOException;
        }

        private static <T> T run(String step, Act<T> a) {
            try {
                return a.run();
            } catch (IOException e) {
                throw new StorageException(step, String.valueOf(e.getMessage()));
            }
        }

        @Override
        public List<String> names() {
            return run(
                    "list " + dir,
                    () -> {
                        try (var s = Files.list(dir)) {
                            return s.map(p -> p.getFileName().toString()).sorted().toList();
                        }
                    });
        }

        @Override
        public byte[] read(String n) {
            return run("read " + n, () -> Files.readAllBytes(dir.resolve(n)));
        }

        @Override
        public void writeSynced(String n, byte[] b) {
            run(
                    "write " + n,
                    () -> {
                        try (var c =
                                FileChannel.open(
                                        dir.resolve(n),
                                        StandardOpenOption.CREATE,
                                        StandardOpenOption.TRUNCATE_EXISTING,
                                        StandardOpenOption.WRITE)) {
                            var bb = ByteBuffer.wrap(b);
                            while (bb.hasRemaining()) {
                                c.write(bb);
                            }
                            c.force(true);
                        }
                        return 0;
                    });
        }

        @Override
        public void rename(String a, String b) {
            run(
                    "rename " + a,
                    () ->
                            Files.move(
                                    dir.resolve(a),
                                    dir.resolve(b),
                                    StandardCopyOption.ATOMIC_MOVE));
        }

        @Override
        public void syncFolder() {
            run(
                    "sync " + dir,
                    () -> {
                        sync(dir);
                        return 0;
                    });
        }

        @Override
        public void remove(String n) {
            run("remove " + n, () -> Files.deleteIfExists(dir.resolve(n)));
        }
    }
}
