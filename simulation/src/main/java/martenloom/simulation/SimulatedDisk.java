package martenloom.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import martenloom.common.error.StorageException;
import martenloom.core.storage.StorageFolder;

/**
 * A folder of files as a kernel keeps it: names and contents that are in memory, and those that
 * outlive a loss of power. A name that was made, moved or removed since the folder was last synced
 * is kept or lost by itself; contents that were not synced are present, missing or torn. The
 * process may be made to end between any two steps of an operation.
 */
final class SimulatedDisk implements StorageFolder {
    private static final Pattern VERSION_FILE = Pattern.compile(".*-[0-9a-f]{16}");
    private static final byte[] NOTHING = {};

    /** The process ended inside an operation. */
    static final class Ended extends RuntimeException {
        private static final long serialVersionUID = 1;

        Ended() {
            super("ended inside an operation of the disk", null, false, false);
        }
    }

    private static final class File {
        private byte[] content = NOTHING;
        private boolean synced;
    }

    private sealed interface FolderChange permits Made, Moved, Removed {}

    private record Made(String name, File file) implements FolderChange {}

    private record Moved(String from, String to, File file) implements FolderChange {}

    private record Removed(String name) implements FolderChange {}

    private final Randomness random;
    private final Map<String, File> names = new TreeMap<>();
    private final Map<String, File> lasting = new HashMap<>();
    private final List<FolderChange> unsynced = new ArrayList<>();
    private int stepsLeft = Integer.MAX_VALUE;
    private boolean full;

    SimulatedDisk(Randomness random) {
        this.random = random;
    }

    /** Makes the process end after so many further steps. */
    void endAfter(int steps) {
        stepsLeft = steps;
    }

    void setFull(boolean full) {
        this.full = full;
    }

    /** A new process on the same machine: what was written is there, synced or not. */
    void restart() {
        stepsLeft = Integer.MAX_VALUE;
    }

    void wipe() {
        names.clear();
        lasting.clear();
        unsynced.clear();
    }

    void losePower() {
        var kept = new TreeMap<>(lasting);
        for (var change : unsynced) {
            if (random.coin()) {
                apply(change, kept);
            }
        }
        unsynced.clear();
        names.clear();
        names.putAll(kept);
        lasting.clear();
        lasting.putAll(kept);
        names.values().stream().filter(f -> !f.synced).forEach(this::settle);
    }

    private static void apply(FolderChange change, Map<String, File> folder) {
        if (change instanceof Made made) {
            folder.put(made.name, made.file);
        } else if (change instanceof Moved moved) {
            folder.remove(moved.from);
            folder.put(moved.to, moved.file);
        } else if (change instanceof Removed removed) {
            folder.remove(removed.name);
        }
    }

    /** Contents that were not synced: present, missing or torn. */
    private void settle(File file) {
        switch (random.below(3)) {
            case 0 -> {}
            case 1 -> file.content = NOTHING;
            default -> file.content = torn(file.content);
        }
        file.synced = true;
    }

    private byte[] torn(byte[] content) {
        return content.length == 0 ? NOTHING : Arrays.copyOf(content, random.below(content.length));
    }

    /** The newest version file is no longer whole. */
    boolean tearNewest() {
        var newest =
                names.keySet().stream()
                        .filter(n -> VERSION_FILE.matcher(n).matches())
                        .max(String::compareTo);
        newest.ifPresent(
                n -> {
                    var file = new File();
                    file.content = torn(names.get(n).content);
                    file.synced = true;
                    names.put(n, file);
                    lasting.put(n, file);
                });
        return newest.isPresent();
    }

    private void step() {
        if (stepsLeft-- <= 0) {
            throw new Ended();
        }
    }

    @Override
    public List<String> names() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name) {
        return names.get(name).content.clone();
    }

    @Override
    public void writeSynced(String name, byte[] content) {
        step();
        var file = names.get(name);
        if (file == null) {
            file = new File();
            names.put(name, file);
            unsynced.add(new Made(name, file));
        }
        file.content = NOTHING;
        file.synced = false;
        step();
        file.content = torn(content);
        if (full) {
            throw new StorageException("write " + name, "no space is left");
        }
        step();
        file.content = content.clone();
        step();
        file.synced = true;
    }

    @Override
    public void rename(String from, String to) {
        step();
        var file = names.remove(from);
        names.put(to, file);
        unsynced.add(new Moved(from, to, file));
    }

    @Override
    public void syncFolder() {
        step();
        lasting.clear();
        lasting.putAll(names);
        unsynced.clear();
    }

    @Override
    public void remove(String name) {
        step();
        names.remove(name);
        unsynced.add(new Removed(name));
    }
}
