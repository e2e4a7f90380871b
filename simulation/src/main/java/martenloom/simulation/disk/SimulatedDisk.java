package martenloom.simulation.disk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import martenloom.common.error.StorageException;
import martenloom.core.storage.AppendedFile;
import martenloom.core.storage.StorageFolder;
import martenloom.simulation.engine.RandomStream;

/**
 * A folder of files as a kernel keeps it: names and contents that are in memory, and those that
 * outlive a loss of power. A name that was made, moved or removed since the folder was last synced
 * is kept or lost by itself; contents that were not synced are present, missing or torn. The
 * process may be made to end between any two steps of an operation.
 */
public final class SimulatedDisk implements StorageFolder {
    private static final Pattern VERSION_FILE = Pattern.compile(".*-[0-9a-f]{16}");
    private static final int UNSYNCED_OUTCOMES = 3;

    private final RandomStream random;

    /** The files as the running process sees them. */
    private final Map<String, SimulatedFile> files = new TreeMap<>();

    /** The files as of the last sync of the folder. */
    private final Map<String, SimulatedFile> durableFiles = new HashMap<>();

    /** The changes of names since the last sync of the folder, in order. */
    private final List<FolderChange> unsyncedChanges = new ArrayList<>();

    private int stepsLeft = Integer.MAX_VALUE;
    private boolean full;

    public SimulatedDisk(RandomStream random) {
        this.random = random;
    }

    /** Makes the process end after so many further steps of operations. */
    public void endProcessAfter(int steps) {
        stepsLeft = steps;
    }

    /** Makes the disk refuse the contents of files, or take them again. */
    public void setFull(boolean full) {
        this.full = full;
    }

    /** A new process on the same machine: what was written is there, synced or not. */
    public void onProcessStart() {
        stepsLeft = Integer.MAX_VALUE;
    }

    /** The disk is empty. */
    public void wipe() {
        files.clear();
        durableFiles.clear();
        unsyncedChanges.clear();
    }

    /** The machine loses power: each unsynced name, and each unsynced content, is kept or lost. */
    public void losePower() {
        var kept = new TreeMap<>(durableFiles);
        for (var change : unsyncedChanges) {
            if (random.coin()) {
                change.applyTo(kept);
            }
        }
        unsyncedChanges.clear();
        files.clear();
        files.putAll(kept);
        durableFiles.clear();
        durableFiles.putAll(kept);
        files.values().stream().filter(file -> !file.isSynced()).forEach(this::settleContent);
    }

    /** Contents that were not synced: present, missing or torn. */
    private void settleContent(SimulatedFile file) {
        switch (random.below(UNSYNCED_OUTCOMES)) {
            case 0 -> {}
            case 1 -> file.keepOfUnsynced(0);
            default -> file.keepOfUnsynced(tornLength(file.unsyncedBytes()));
        }
        file.markSynced();
    }

    private byte[] torn(byte[] content) {
        return Arrays.copyOf(content, tornLength(content.length));
    }

    private int tornLength(int length) {
        return length == 0 ? 0 : random.below(length);
    }

    /** The newest version file, if there is one, is no longer complete. */
    public void tearNewestVersion() {
        files.keySet().stream()
                .filter(name -> VERSION_FILE.matcher(name).matches())
                .max(String::compareTo)
                .ifPresent(this::tear);
    }

    private void tear(String name) {
        var file = SimulatedFile.synced(torn(files.get(name).content()));
        files.put(name, file);
        durableFiles.put(name, file);
    }

    private void step() {
        if (stepsLeft-- <= 0) {
            throw new ProcessEndedException();
        }
    }

    @Override
    public List<String> names() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        return files.get(name).content().clone();
    }

    @Override
    public void writeSynced(String name, byte[] content) {
        step();
        var file = files.computeIfAbsent(name, this::createFile);
        file.truncate();
        step();
        file.write(torn(content));
        if (full) {
            throw new StorageException("write " + name, "no space is left");
        }
        step();
        file.write(content.clone());
        step();
        file.markSynced();
    }

    private SimulatedFile createFile(String name) {
        var file = new SimulatedFile();
        unsyncedChanges.add(new FolderChange.Created(name, file));
        return file;
    }

    @Override
    public AppendedFile create(String name) {
        step();
        var file = files.computeIfAbsent(name, this::createFile);
        file.truncate();
        return new OpenFile(file);
    }

    private final class OpenFile implements AppendedFile {
        private final SimulatedFile file;

        OpenFile(SimulatedFile file) {
            this.file = file;
        }

        @Override
        public void appendSynced(byte[] content) {
            step();
            var written = torn(content);
            file.append(written);
            if (full) {
                throw new StorageException("append", "no space is left");
            }
            step();
            file.append(Arrays.copyOfRange(content, written.length, content.length));
            step();
            file.markSynced();
        }

        @Override
        public void close() {}
    }

    @Override
    public void rename(String from, String to) {
        step();
        var file = files.remove(from);
        files.put(to, file);
        unsyncedChanges.add(new FolderChange.Renamed(from, to, file));
    }

    @Override
    public void syncFolder() {
        step();
        durableFiles.clear();
        durableFiles.putAll(files);
        unsyncedChanges.clear();
    }

    @Override
    public void remove(String name) {
        step();
        files.remove(name);
        unsyncedChanges.add(new FolderChange.Removed(name));
    }
}
