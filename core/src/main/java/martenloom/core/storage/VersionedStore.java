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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import java.util.zip.CRC32;
import martenloom.common.error.Fault;
import martenloom.common.log.RingLog;

/**
 * The disk of a core member: one file for each version, written aside, synced, renamed, and the
 * folder synced, before the version counts as kept. Every file opens with its length, check sum and
 * time; at a start the newest whole one is taken. Work runs on a thread of its own, so a stalled
 * disk never stops the reactor.
 */
public final class VersionedStore {
    private static final String PREFIX = "member-";
    private static final int HEAD = 20;

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

    public VersionedStore(Folder f) {
        this.f = f;
    }

    public Optional<byte[]> load() {
        var best = Optional.<byte[]>empty();
        for (var n : f.names()) {
            var v = versionOf(n);
            if (v <= version) {
                continue;
            }
            var b = whole(f.read(n));
            if (b.isPresent()) {
                best = b;
                version = v;
            } else {
                RingLog.note("store: " + n + " is not whole, passed over");
            }
        }
        best.ifPresent(b -> keptAtMs = ByteBuffer.wrap(b).getLong(12));
        return best.map(b -> Arrays.copyOfRange(b, HEAD, b.length));
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

    private static long versionOf(String n) {
        try {
            return n.startsWith(PREFIX) && !n.endsWith(".aside")
                    ? Long.parseLong(n.substring(PREFIX.length()), 16)
                    : -1;
        } catch (NumberFormatException e) {
            return -1;
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
                        f.writeSynced(name + ".aside", framed(b));
                        f.rename(name + ".aside", name);
                        f.syncFolder();
                    } catch (RuntimeException e) {
                        RingLog.note("store: note " + name + " is not kept: " + e.getMessage());
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
        var name = PREFIX + String.format("%016x", v);
        f.writeSynced(name + ".aside", framed(b));
        f.rename(name + ".aside", name);
        f.syncFolder();
        version = v;
        for (var n : f.names()) {
            if (versionOf(n) > 0 && versionOf(n) < v) {
                f.remove(n);
            }
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
                            RingLog.wrong("store: " + e.getMessage());
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
        }

        @FunctionalInterface
        private interface Act<T> {
            T run() throws IOException;
        }

        private static <T> T run(String step, Act<T> a) {
            try {
                return a.run();
            } catch (IOException e) {
                throw Fault.here(Fault.Code.DISK, step, String.valueOf(e.getMessage()));
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
                        try (var c = FileChannel.open(dir, StandardOpenOption.READ)) {
                            c.force(true);
                        }
                        return 0;
                    });
        }

        @Override
        public void remove(String n) {
            run("remove " + n, () -> Files.deleteIfExists(dir.resolve(n)));
        }
    }
}
