package martenloom.core.storage;

/**
 * The names of a store's files. Version 26 of the member state is {@code member-} and its number in
 * 16 hexadecimal digits; a file that is still being written bears the suffix {@code .aside}. A
 * content that versions name is {@code content-} and its digest.
 */
final class FileNames {
    /** The version of a name that belongs to no version. */
    static final long NO_VERSION = -1;

    private static final String VERSION_PREFIX = "member-";
    private static final String CONTENT_PREFIX = "content-";
    private static final String STAGING_SUFFIX = ".aside";
    private static final int HEXADECIMAL = 16;

    private FileNames() {}

    static String ofVersion(long version) {
        return VERSION_PREFIX + String.format("%016x", version);
    }

    /** The name of the content with this digest. */
    static String ofContent(String digest) {
        return CONTENT_PREFIX + digest;
    }

    static boolean isContent(String name) {
        return name.startsWith(CONTENT_PREFIX);
    }

    /** The name under which a file is written until it is complete. */
    static String staging(String name) {
        return name + STAGING_SUFFIX;
    }

    /** The version that is complete under this name, or {@link #NO_VERSION}. */
    static long version(String name) {
        return name.startsWith(VERSION_PREFIX) && !name.endsWith(STAGING_SUFFIX)
                ? number(name.substring(VERSION_PREFIX.length()))
                : NO_VERSION;
    }

    /** The version that was being written under this name, or {@link #NO_VERSION}. */
    static long stagingVersion(String name) {
        return name.startsWith(VERSION_PREFIX) && name.endsWith(STAGING_SUFFIX)
                ? number(
                        name.substring(
                                VERSION_PREFIX.length(), name.length() - STAGING_SUFFIX.length()))
                : NO_VERSION;
    }

    private static long number(String digits) {
        try {
            return Long.parseLong(digits, HEXADECIMAL);
        } catch (NumberFormatException e) {
            return NO_VERSION;
        }
    }
}
