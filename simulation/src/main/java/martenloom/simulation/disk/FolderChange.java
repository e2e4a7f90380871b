package martenloom.simulation.disk;

import java.util.Map;

/** A change of the names in a folder that was not synced yet. */
sealed interface FolderChange {
    void applyTo(Map<String, SimulatedFile> folder);

    /** A name was made. */
    record Created(String name, SimulatedFile file) implements FolderChange {
        @Override
        public void applyTo(Map<String, SimulatedFile> folder) {
            folder.put(name, file);
        }
    }

    /** A file was moved to another name. */
    record Renamed(String from, String to, SimulatedFile file) implements FolderChange {
        @Override
        public void applyTo(Map<String, SimulatedFile> folder) {
            folder.remove(from);
            folder.put(to, file);
        }
    }

    /** A name was removed. */
    record Removed(String name) implements FolderChange {
        @Override
        public void applyTo(Map<String, SimulatedFile> folder) {
            folder.remove(name);
        }
    }
}
