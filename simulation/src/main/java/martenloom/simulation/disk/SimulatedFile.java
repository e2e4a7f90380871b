package martenloom.simulation.disk;

import java.util.Arrays;

/** The content of a file in memory, and whether it would outlive a loss of power. */
final class SimulatedFile {
    private static final byte[] EMPTY = {};

    private byte[] content = EMPTY;
    private boolean synced;

    /** How much of the content outlives a loss of power whatever was written behind it. */
    private int durableBytes;

    static SimulatedFile synced(byte[] content) {
        var file = new SimulatedFile();
        file.write(content);
        file.markSynced();
        return file;
    }

    byte[] content() {
        return content;
    }

    boolean isSynced() {
        return synced;
    }

    void write(byte[] written) {
        content = written;
        synced = false;
        durableBytes = 0;
    }

    void truncate() {
        write(EMPTY);
    }

    /** Adds bytes behind the content; what was synced before them stays durable. */
    void append(byte[] added) {
        var joined = Arrays.copyOf(content, content.length + added.length);
        System.arraycopy(added, 0, joined, content.length, added.length);
        content = joined;
        synced = false;
    }

    /** Keeps of what is not durable only so many bytes. */
    void keepOfUnsynced(int bytes) {
        content = Arrays.copyOf(content, durableBytes + bytes);
    }

    int unsyncedBytes() {
        return content.length - durableBytes;
    }

    void markSynced() {
        synced = true;
        durableBytes = content.length;
    }
}
