package martenloom.simulation.disk;

/** The content of a file in memory, and whether it would outlive a loss of power. */
final class SimulatedFile {
    private static final byte[] EMPTY = {};

    private byte[] content = EMPTY;
    private boolean synced;

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
    }

    void truncate() {
        write(EMPTY);
    }

    void markSynced() {
        synced = true;
    }
}
