package martenloom.common.link;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts of what daemons say to each other: records and bytes sent, by kind of record, for each
 * reactor thread. One owner writes a count, anyone may read it.
 */
public final class LinkTraffic {
    private static final Map<String, LinkTraffic> BY_THREAD = new ConcurrentHashMap<>();
    private static final int KINDS = 128;

    private final long[] records = new long[KINDS];
    private final long[] bytes = new long[KINDS];

    private LinkTraffic() {}

    /** The counts of the thread that asks. */
    public static LinkTraffic mine() {
        return BY_THREAD.computeIfAbsent(Thread.currentThread().getName(), k -> new LinkTraffic());
    }

    public static LinkTraffic of(String thread) {
        return BY_THREAD.getOrDefault(thread, new LinkTraffic());
    }

    void sent(byte[] record) {
        var k = record.length == 0 ? 0 : record[0] & (KINDS - 1);
        records[k]++;
        bytes[k] += record.length + 4;
    }

    public long records() {
        return Arrays.stream(records).sum();
    }

    public long bytes() {
        return Arrays.stream(bytes).sum();
    }

    /** Records and bytes by kind, in a map of the kind's number. */
    public Map<Integer, long[]> kinds() {
        var m = new TreeMap<Integer, long[]>();
        for (var i = 0; i < KINDS; i++) {
            if (records[i] > 0) {
                m.put(i, new long[] {records[i], bytes[i]});
            }
        }
        return m;
    }

    public static String text() {
        var b = new StringBuilder();
        new TreeMap<>(BY_THREAD)
                .forEach(
                        (t, x) ->
                                x.kinds()
                                        .forEach(
                                                (k, v) ->
                                                        b.append(t)
                                                                .append(" record ")
                                                                .append(k)
                                                                .append(" sent ")
                                                                .append(v[0])
                                                                .append(" bytes ")
                                                                .append(v[1])
                                                                .append('\n')));
        return b.toString();
    }
}
