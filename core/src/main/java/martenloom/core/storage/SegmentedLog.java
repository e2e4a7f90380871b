package martenloom.core.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import martenloom.common.error.StorageException;
import martenloom.common.log.RingLog;

/**
 * A log on disk: payloads are appended to the newest segment, a file of its own, and synced. A
 * rewriting begins a new segment with all that is to be kept, and then removes the older ones.
 *
 * <p>An unfinished append leaves a torn frame or a complete one that was never reported as written.
 * An unfinished rewriting leaves a segment of which the first frames are there, beside the older
 * segments. So a reader may find a payload that was never reported, and the same payload twice; it
 * never misses one that was reported, unless a rewriting left it out. Nothing is appended behind
 * what an earlier process or a refused append has left: a rewriting has to come first.
 *
 * <p>{@link #load} runs on the caller's thread, all else on a thread of the log's own.
 */
public final class SegmentedLog {
    private static final int HEXADECIMAL = 16;

    private final StorageFolder folder;
    private final String prefix;
    private final StorageThread thread;

    /** The segment that is appended to; empty before the first and after a refused append. */
    private Optional<AppendedFile> segment = Optional.empty();

    private long newestNumber;

    /**
     * A log in a folder where nothing else writes files of this prefix.
     *
     * @param prefix of the names of its files; also names the thread
     */
    public SegmentedLog(StorageFolder folder, String prefix) {
        this.folder = folder;
        this.prefix = prefix;
        thread = new StorageThread(prefix);
    }

    /** The payloads of all segments in order, each segment up to its first damaged frame. */
    public List<byte[]> load() {
        var payloads = new ArrayList<byte[]>();
        for (var name : segments()) {
            payloads.addAll(LogFrames.decode(folder.read(name)));
        }
        return payloads;
    }

    private List<String> segments() {
        return folder.names().stream().filter(this::isSegment).sorted().toList();
    }

    private boolean isSegment(String name) {
        return name.matches(prefix + "-[0-9a-f]{16}");
    }

    /** Appends a payload; says on the log's thread whether it is durable. */
    public void appendAsync(byte[] payload, Consumer<Boolean> done) {
        thread.execute(() -> done.accept(tryToAppend(payload)));
    }

    private boolean tryToAppend(byte[] payload) {
        try {
            segment.ifPresent(file -> file.appendSynced(LogFrames.encode(List.of(payload))));
            return segment.isPresent();
        } catch (StorageException e) {
            RingLog.error("log " + prefix + ": " + e.getMessage());
            closeSegment();
            return false;
        }
    }

    /**
     * Replaces all segments by a new one of these payloads, tried again for as long as the disk
     * refuses.
     *
     * @param done is called on the log's thread when they are durable
     */
    public void rewriteAsync(List<byte[]> payloads, Runnable done) {
        thread.executeUntilWritten(
                () -> {
                    rewrite(LogFrames.encode(payloads));
                    done.run();
                });
    }

    private void rewrite(byte[] content) {
        closeSegment();
        var older = segments();
        var number = Math.max(newestNumber, newestOf(older)) + 1;
        var name = prefix + String.format("-%016x", number);
        var file = folder.create(name);
        segment = Optional.of(file);
        newestNumber = number;
        file.appendSynced(content);
        folder.syncFolder();
        removeAll(older);
    }

    private long newestOf(List<String> names) {
        return names.isEmpty()
                ? 0
                : Long.parseLong(
                        names.get(names.size() - 1).substring(prefix.length() + 1), HEXADECIMAL);
    }

    /** What is not removed now is read again, to no harm, and removed by the next rewriting. */
    private void removeAll(List<String> names) {
        try {
            names.forEach(folder::remove);
        } catch (StorageException e) {
            RingLog.debug("log " + prefix + ": " + e.getMessage());
        }
    }

    private void closeSegment() {
        try {
            segment.ifPresent(AppendedFile::close);
        } catch (StorageException e) {
            RingLog.debug("log " + prefix + ": " + e.getMessage());
        }
        segment = Optional.empty();
    }

    /** Waits until all writes so far are done, or until the timeout. */
    public void flush(long timeoutMs) {
        thread.await(timeoutMs);
    }
}
