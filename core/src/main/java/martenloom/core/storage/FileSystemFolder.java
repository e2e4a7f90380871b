package martenloom.core.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import martenloom.common.error.StorageException;
import martenloom.common.log.RingLog;

/** A folder of the file system. Thread-safe as far as the file system is. */
public final class FileSystemFolder implements StorageFolder {
    @FunctionalInterface
    private interface FileOperation<T> {
        T run() throws IOException;
    }

    private final Path folder;

    /** Opens a folder, which is created if it does not exist yet. */
    public FileSystemFolder(String path) {
        folder = Path.of(path);
        run("open " + path, () -> Files.createDirectories(folder));
        syncParent(folder.toAbsolutePath().getParent());
    }

    /**
     * Makes the name of the folder durable: a name is lost with the power unless its parent is
     * synced, and an earlier incarnation of the process may have ended between the two. A parent
     * that must not be opened was not created by this program, so its refusal does no harm.
     */
    private static void syncParent(Path parent) {
        try {
            sync(parent);
        } catch (IOException e) {
            RingLog.debug("store: " + parent + " is not synced: " + e.getMessage());
        }
    }

    private static void sync(Path directory) throws IOException {
        try (var channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static <T> T run(String step, FileOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException | UncheckedIOException e) {
            throw new StorageException(step, String.valueOf(e.getMessage()));
        }
    }

    @Override
    public List<String> names() {
        return run("list " + folder, this::listNames);
    }

    private List<String> listNames() throws IOException {
        try (var files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public byte[] read(String name) {
        return run("read " + name, () -> Files.readAllBytes(folder.resolve(name)));
    }

    @Override
    public void writeSynced(String name, byte[] content) {
        run("write " + name, () -> writeAndSync(folder.resolve(name), content));
    }

    private static Path writeAndSync(Path file, byte[] content) throws IOException {
        try (var channel = openEmpty(file)) {
            appendAndSync(channel, content);
        }
        return file;
    }

    private static FileChannel openEmpty(Path file) throws IOException {
        return FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }

    private static FileChannel appendAndSync(FileChannel channel, byte[] content)
            throws IOException {
        var buffer = ByteBuffer.wrap(content);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        channel.force(true);
        return channel;
    }

    @Override
    public AppendedFile create(String name) {
        return new OpenFile(name, run("create " + name, () -> openEmpty(folder.resolve(name))));
    }

    /** A file that is open for appending. */
    private record OpenFile(String name, FileChannel channel) implements AppendedFile {
        @Override
        public void appendSynced(byte[] content) {
            run("append to " + name, () -> appendAndSync(channel, content));
        }

        @Override
        public void close() {
            run(
                    "close " + name,
                    () -> {
                        channel.close();
                        return name;
                    });
        }
    }

    @Override
    public void rename(String from, String to) {
        run(
                "rename " + from,
                () ->
                        Files.move(
                                folder.resolve(from),
                                folder.resolve(to),
                                StandardCopyOption.ATOMIC_MOVE));
    }

    @Override
    public void syncFolder() {
        run(
                "sync " + folder,
                () -> {
                    sync(folder);
                    return folder;
                });
    }

    @Override
    public void remove(String name) {
        run("remove " + name, () -> Files.deleteIfExists(folder.resolve(name)));
    }
}
