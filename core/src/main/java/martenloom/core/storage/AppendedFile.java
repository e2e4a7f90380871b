package martenloom.core.storage;

/**
 * A file of a {@link StorageFolder} that grows at its end. Every method throws a {@link
 * martenloom.common.error.StorageException} when the disk refuses; what the file then holds behind
 * its last synced byte is unknown.
 */
public interface AppendedFile {
    /** Appends content and syncs the file. */
    void appendSynced(byte[] content);

    /** Releases the file; it stays in its folder. */
    void close();
}
