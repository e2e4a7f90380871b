package martenloom.common.link;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the records and bytes that the links of one reactor thread have sent, by type of record,
 * and the bytes that wait to be sent on all of them. Only that thread counts; any thread may read,
 * and may then see a value that is slightly old.
 */
public final class LinkTraffic {
    private static final Map<String, LinkTraffic> BY_THREAD = new ConcurrentHashMap<>();
    private static final int TYPES = 128;
    private static final int LENGTH_BYTES = 4;

    private final Set<PeerLink> backlogged = new LinkedHashSet<>();
    private long unsentBytes;
    private final long[] records = new long[TYPES];
    private final long[] bytes = new long[TYPES];

    /** What was sent of one type of record. */
    public record Count(long records, long bytes) {}

    private LinkTraffic() {}

    /** The counts of the thread that asks. */
    public static LinkTraffic ofCurrentThread() {
        return BY_THREAD.computeIfAbsent(
                Thread.currentThread().getName(), name -> new LinkTraffic());
    }

    /** The counts of a thread by its name; all 0 when it has sent nothing. */
    public static LinkTraffic ofThread(String name) {
        return BY_THREAD.getOrDefault(name, new LinkTraffic());
    }

    /**
     * Counts what waits to be sent on a link of this thread.
     *
     * @param change how many more bytes wait there; fewer when it is negative
     */
    void countUnsent(PeerLink link, int change) {
        unsentBytes += change;
        if (link.unsentBytes() > 0) {
            backlogged.add(link);
        } else {
            backlogged.remove(link);
        }
    }

    /** What waits to be sent on all links of this thread. */
    long unsentBytes() {
        return unsentBytes;
    }

    /** The link of this thread on which most waits to be sent. */
    Optional<PeerLink> slowestLink() {
        return backlogged.stream().max(Comparator.comparingInt(PeerLink::unsentBytes));
    }

    void countSent(byte[] record) {
        var type = record.length == 0 ? 0 : record[0] & (TYPES - 1);
        records[type]++;
        bytes[type] += record.length + LENGTH_BYTES;
    }

    /** Records of all types. */
    public long totalRecords() {
        return Arrays.stream(records).sum();
    }

    /** Bytes of all types, with the lengths that precede the records. */
    public long totalBytes() {
        return Arrays.stream(bytes).sum();
    }

    /** The types that were sent, in ascending order, with their counts. */
    public Map<Integer, Count> countsByType() {
        var counts = new TreeMap<Integer, Count>();
        for (var type = 0; type < TYPES; type++) {
            if (records[type] > 0) {
                counts.put(type, new Count(records[type], bytes[type]));
            }
        }
        return counts;
    }

    /** The counts of all threads, a line for each thread and type. */
    public static String report() {
        var report = new StringBuilder();
        new TreeMap<>(BY_THREAD)
                .forEach(
                        (thread, traffic) ->
                                traffic.countsByType()
                                        .forEach(
                                                (type, count) ->
                                                        appendLine(report, thread, type, count)));
        return report.toString();
    }

    private static void appendLine(StringBuilder report, String thread, int type, Count count) {
        report.append(thread)
                .append(" record ")
                .append(type)
                .append(" sent ")
                .append(count.records)
                .append(" bytes ")
                .append(count.bytes)
                .append('\n');
    }
}
