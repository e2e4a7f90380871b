package martenloom.core.storage;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import martenloom.common.error.StorageException;
import martenloom.common.jobs.Content;
import martenloom.common.log.RingLog;

/**
 * The durable storage of a core member: one file for each version of its state. A version is
 * written under a staging name, synced and renamed, and the folder is synced, before it counts as
 * written. Only then is anything promised or acknowledged that rests on it. Asynchronous writes run
 * on a thread of their own; the rest runs on the caller's thread.
 *
 * <p>What an unfinished, never acknowledged write of version v can leave behind, whatever is lost
 * with the power: a staging file that is missing, torn or complete, or the complete file under its
 * final name (the rename came after the sync of its content), while the final file of version v - 1
 * is still there, since nothing older is removed before the folder has been synced with v. So a
 * staging file proves nothing and is ignored, and the newest final file is always complete. A
 * newest final file that is not complete therefore means a damaged disk: a promise may have been in
 * it. Then nothing is taken from the disk, older versions included, and the member comes back as
 * one that lost its disk. The same holds for a staging file that is more than one version ahead of
 * the newest final file: the version between them was written, and is gone.
 *
 * <p>Contents that a version names are files of their own, named by their digests. Those that are
 * new are written and synced, and the folder is synced, before the version that names them is
 * written; those that no version names any more are removed after it. So the contents that the
 * newest version names are there and complete; if they are not, the disk is damaged as well.
 */
public final class VersionedStore {
    private static final long MAX_DOWNTIME_MS = 600_000;
    private static final long US_PER_MS = 1_000;

    private final StorageFolder folder;
    private final StorageThread thread = new StorageThread("store");

    /** The newest version that was written or found; 0 before the first. Guarded by this. */
    private long version;

    /** The digests of the contents that are durable. Guarded by this. */
    private final Set<String> storedContents = new HashSet<>();

    /** The time of day at which the version that was loaded was written; 0 when none was. */
    private long loadedWrittenAtMs;

    private boolean damaged;

    /** A store in a folder that nothing else writes to; {@link #load} has to come before writes. */
    public VersionedStore(StorageFolder folder) {
        this.folder = folder;
    }

    /**
     * The version that was written last; empty when none ever was, or when the disk is {@link
     * #isDamaged() damaged}.
     */
    public synchronized Optional<byte[]> load() {
        var names = folder.names();
        var newest = newest(names, FileNames::version);
        var newestStaging = newest(names, FileNames::stagingVersion);
        var found =
                newest > 0
                        ? FileFrame.decode(folder.read(FileNames.ofVersion(newest)))
                        : Optional.<FileFrame>empty();
        damaged = newest > 0 && found.isEmpty() || newestStaging > Math.max(0, newest) + 1;
        if (damaged) {
            RingLog.error(
                    "store: version "
                            + newest
                            + " is incomplete or one after it is missing, the disk counts as lost");
            version = Math.max(newest, newestStaging);
            return Optional.empty();
        }
        if (found.isPresent()) {
            // A process that was killed between the rename and the sync left a name that a loss of
            // power may still undo.
            folder.syncFolder();
            version = newest;
            loadedWrittenAtMs = found.get().writtenAtMs();
        }
        removeOldVersions(newest);
        return found.map(FileFrame::payload);
    }

    /** A content that the loaded version names; empty when it is missing or not complete. */
    public synchronized Optional<Content> content(String digest) {
        var name = FileNames.ofContent(digest);
        if (!folder.names().contains(name)) {
            return Optional.empty();
        }
        var content = Content.of(folder.read(name));
        if (!content.digest().equals(digest)) {
            return Optional.empty();
        }
        storedContents.add(digest);
        return Optional.of(content);
    }

    /** To be called when a content that the loaded version names is not there. */
    public synchronized void onContentMissing() {
        RingLog.error("store: version " + version + " names a content that is missing");
        damaged = true;
    }

    private static long newest(List<String> names, ToLongFunction<String> versionOf) {
        return names.stream().mapToLong(versionOf).max().orElse(FileNames.NO_VERSION);
    }

    /**
     * Whether {@link #load} found that a version was written here that is incomplete or missing
     * now: this member may have promised what it no longer knows.
     */
    public boolean isDamaged() {
        return damaged;
    }

    /**
     * How long before now the loaded version was written, in microseconds, by the time of day and
     * ten minutes at most; 0 when the clock went backwards. It is a hint for the deadlines of jobs
     * across a restart and must be used for nothing else.
     */
    public long downtimeUs() {
        if (loadedWrittenAtMs == 0) {
            return 0;
        }
        var downtimeMs = System.currentTimeMillis() - loadedWrittenAtMs;
        return Math.max(0, Math.min(MAX_DOWNTIME_MS, downtimeMs)) * US_PER_MS;
    }

    /**
     * Removes all other versions; when the disk refuses, the next write tries again. The staging
     * file of the next version stays and will be overwritten: a name that is removed and created
     * again without a sync in between could come back with its old content.
     */
    private void removeOldVersions(long kept) {
        remove(name -> isOtherVersion(name, kept));
    }

    private void removeUnnamedContents(Set<String> named) {
        storedContents.retainAll(named);
        var kept = named.stream().map(FileNames::ofContent).collect(Collectors.toSet());
        remove(name -> FileNames.isContent(name) && !kept.contains(name));
    }

    private void remove(Predicate<String> unneeded) {
        try {
            folder.names().stream().filter(unneeded).forEach(folder::remove);
        } catch (StorageException e) {
            RingLog.debug("store: an old file is not removed: " + e.getMessage());
        }
    }

    private static boolean isOtherVersion(String name, long kept) {
        var complete = FileNames.version(name);
        var staging = FileNames.stagingVersion(name);
        return complete > 0 && complete != kept || staging > 0 && staging <= kept;
    }

    /** Writes the next version, on the caller's thread; it is durable when the call returns. */
    public void write(byte[] state) {
        write(StoredVersion.of(state));
    }

    /** Writes the next version, on the caller's thread; it is durable when the call returns. */
    public synchronized void write(StoredVersion state) {
        var next = version + 1;
        writeNewContents(state.contents());
        replaceDurably(FileNames.ofVersion(next), state.bytes());
        version = next;
        removeOldVersions(next);
        removeUnnamedContents(state.contents().keySet());
    }

    private void writeNewContents(Map<String, Content> contents) {
        var added = new HashSet<>(contents.keySet());
        added.removeAll(storedContents);
        if (!added.isEmpty()) {
            added.forEach(
                    digest ->
                            folder.writeSynced(
                                    FileNames.ofContent(digest), contents.get(digest).bytes()));
            folder.syncFolder();
            storedContents.addAll(added);
        }
    }

    /**
     * Writes the next version on the store's thread, again for as long as the disk refuses.
     *
     * @param state gives the content, on the store's thread
     * @param done is called on the store's thread when the version is durable
     */
    public void writeAsync(Supplier<StoredVersion> state, Runnable done) {
        thread.executeUntilWritten(
                () -> {
                    write(state.get());
                    done.run();
                });
    }

    private void replaceDurably(String name, byte[] payload) {
        var staging = FileNames.staging(name);
        folder.writeSynced(staging, new FileFrame(payload, System.currentTimeMillis()).encode());
        folder.rename(staging, name);
        folder.syncFolder();
    }

    /**
     * Writes a checkpoint, which may be lost, under a fixed name. It is tried once, after whatever
     * the store has to write already.
     */
    public void writeCheckpointAsync(String name, byte[] checkpoint) {
        thread.execute(
                () -> {
                    try {
                        replaceDurably(name, checkpoint);
                    } catch (StorageException e) {
                        RingLog.debug(
                                "store: checkpoint " + name + " is not written: " + e.getMessage());
                    }
                });
    }

    /** The checkpoint of this name; empty when there is none, or none that is complete. */
    public Optional<byte[]> readCheckpoint(String name) {
        return folder.names().contains(name)
                ? FileFrame.decode(folder.read(name)).map(FileFrame::payload)
                : Optional.empty();
    }

    /** Waits until all asynchronous writes so far are done, or until the timeout. */
    public void flush(long timeoutMs) {
        thread.await(timeoutMs);
    }
}
