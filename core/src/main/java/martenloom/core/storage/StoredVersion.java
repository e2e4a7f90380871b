package martenloom.core.storage;

import java.util.Map;
import martenloom.common.jobs.Content;

/**
 * What a version consists of: its own bytes, written for each version, and the contents that these
 * name, each written once and kept for as long as a version names it.
 *
 * @param contents by their digests
 */
public record StoredVersion(byte[] bytes, Map<String, Content> contents) {
    /** A version that names no contents. */
    public static StoredVersion of(byte[] bytes) {
        return new StoredVersion(bytes, Map.of());
    }
}
