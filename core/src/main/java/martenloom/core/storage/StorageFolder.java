package martenloom.core.storage;

import java.util.List;

/**
 * The folder in which a {@link VersionedStore} and a {@link SegmentedLog} keep their files. An
 * implementation for tests may lose or tear whatever was not synced. Every method throws a {@link
 * martenloom.common.error.StorageException} when the disk refuses.
 */
public interface StorageFolder {
    /** The names of all files in the folder. */
    List<String> names();

    /** The whole content of a file that exists. */
    byte[] read(String name);

    /**
     * Creates or overwrites a file and syncs its content. The name itself is durable only after
     * {@link #syncFolder}.
     */
    void writeSynced(String name, byte[] content);

    /**
     * Creates a file, or empties the one of this name, to append to it. The name is durable only
     * after {@link #syncFolder}.
     */
    AppendedFile create(String name);

    /** Renames a file atomically; an existing file of the new name is replaced. */
    void rename(String from, String to);

    /** Makes durable which names exist in the folder. */
    void syncFolder();

    /** Removes a file if it exists. */
    void remove(String name);
}
