package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * The replica to which each large shared prefix was last sent, by any edge. Each edge reports its
 * own sendings to its peers, by way of the homes, so that a new replica does not draw prefixes away
 * from those that have them cached. Bounded; the oldest entries are dropped. Runs on the reactor
 * thread.
 */
public final class PrefixOwners {
    private static final int MAX_PREFIXES = 4096;
    private static final int MAX_UNREPORTED = 256;

    private final Object2ObjectLinkedOpenHashMap<String, String> ownerByPrefix =
            new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, String> unreported = new LinkedHashMap<>();

    /** The id of the replica to which a prefix was last sent. */
    public Optional<String> ownerOf(String prefix) {
        return Optional.ofNullable(ownerByPrefix.get(prefix));
    }

    /** This edge has sent a prefix to a replica, which is to be reported to its peers. */
    public void onSent(String prefix, String replica) {
        setOwner(prefix, replica);
        if (unreported.size() < MAX_UNREPORTED) {
            unreported.put(prefix, replica);
        }
    }

    /** Whether every sending of this edge has been reported. */
    public boolean isAllReported() {
        return unreported.isEmpty();
    }

    private void setOwner(String prefix, String replica) {
        ownerByPrefix.putAndMoveToLast(prefix, replica);
        while (ownerByPrefix.size() > MAX_PREFIXES) {
            ownerByPrefix.removeFirst();
        }
    }

    /** For the shell: the newest prefixes and their owners. */
    public String text(int maxLines) {
        var lines = new StringBuilder("parts ").append(ownerByPrefix.size()).append('\n');
        ownerByPrefix.object2ObjectEntrySet().stream()
                .skip(Math.max(0, ownerByPrefix.size() - maxLines))
                .forEach(
                        entry ->
                                lines.append(entry.getKey())
                                        .append(" at ")
                                        .append(entry.getValue())
                                        .append('\n'));
        return lines.toString();
    }

    /** Writes what has not been reported yet, and takes it as reported. */
    public void writeUnreported(RecordWriter out) {
        out.list(
                unreported.entrySet(),
                (item, entry) -> item.text(entry.getKey()).text(entry.getValue()));
        unreported.clear();
    }

    /** Reads what other edges reported. */
    public void readReported(RecordReader in) {
        in.list(
                item -> {
                    setOwner(item.text(), item.text());
                    return 0;
                });
    }
}
