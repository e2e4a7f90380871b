package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordWriter;

/**
 * The replica to which each large shared prefix was last sent, by any edge. Each edge reports to
 * its peers, by way of the homes, when it sends a prefix elsewhere than they know, and else now and
 * then, so that a new replica does not draw prefixes away from those that have them cached.
 * Bounded; the oldest entries are dropped. Runs on the reactor thread.
 */
public final class PrefixOwners {
    private static final int MAX_PREFIXES = 4096;
    private static final int MAX_UNREPORTED = 256;

    /**
     * An owner that has not changed is reported again only after so long, by one of the edges. Two
     * edges that choose different owners at the same time each hear of the other's choice, in an
     * order that depends on their homes; the next report ends that.
     */
    private static final long REPORT_AGAIN_US = 1_000_000;

    /** The owner of a prefix and when it was last reported, by this edge or to it. */
    private record Owner(String replica, long reportedUs) {}

    private final Object2ObjectLinkedOpenHashMap<String, Owner> ownerByPrefix =
            new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, String> unreported = new LinkedHashMap<>();

    /** The id of the replica to which a prefix was last sent. */
    public Optional<String> ownerOf(String prefix) {
        return Optional.ofNullable(ownerByPrefix.get(prefix)).map(Owner::replica);
    }

    /** This edge has sent a prefix to a replica, which its peers are told unless they know. */
    public void onSent(String prefix, String replica, long nowUs) {
        var known =
                Optional.ofNullable(ownerByPrefix.get(prefix))
                        .filter(owner -> owner.replica.equals(replica))
                        .filter(owner -> nowUs - owner.reportedUs < REPORT_AGAIN_US);
        if (known.isPresent()) {
            ownerByPrefix.getAndMoveToLast(prefix);
            return;
        }
        setOwner(prefix, new Owner(replica, nowUs));
        if (unreported.size() < MAX_UNREPORTED) {
            unreported.put(prefix, replica);
        }
    }

    /** Whether every sending of this edge has been reported. */
    public boolean isAllReported() {
        return unreported.isEmpty();
    }

    private void setOwner(String prefix, Owner owner) {
        ownerByPrefix.putAndMoveToLast(prefix, owner);
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
                                        .append(entry.getValue().replica)
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

    /** Another edge has reported the owner of a prefix. */
    public void onReported(String prefix, String replica, long nowUs) {
        setOwner(prefix, new Owner(replica, nowUs));
    }
}
