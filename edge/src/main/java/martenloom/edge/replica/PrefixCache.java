package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;

/**
 * What this edge believes one replica to have in its prefix cache: the segments of the prompts that
 * were sent there, the least recently used given up first. Runs on the reactor thread.
 */
public final class PrefixCache {
    private static final int MAX_SEGMENTS = 4096;

    /** The share of the replica's cache that is counted on; the rest is left to other edges. */
    private static final double USABLE_SHARE = 0.7;

    private final Object2IntLinkedOpenHashMap<String> tokensBySegment =
            new Object2IntLinkedOpenHashMap<>();
    private long totalTokens;

    /** The tokens of all segments in the cache. */
    public long totalTokens() {
        return totalTokens;
    }

    /** Whether a segment is in the cache. */
    public boolean contains(String segment) {
        return tokensBySegment.containsKey(segment);
    }

    /**
     * The tokens of a prompt that the replica would have to prefill: those behind the first segment
     * that it lacks.
     *
     * @param assumeShared whether all segments but the last are taken to be in the cache
     */
    public int missingTokens(Prompt prompt, boolean assumeShared) {
        var count = prompt.segmentCount();
        if (count == 0) {
            return prompt.tokens();
        }
        var missing = 0;
        var cached = true;
        for (var i = 0; i < count; i++) {
            cached = cached && (contains(prompt.segment(i)) || assumeShared && i + 1 < count);
            missing += cached ? 0 : prompt.segmentTokens(i);
        }
        return Math.max(missing, 1);
    }

    /**
     * A prompt was sent: its segments are in the cache from now on.
     *
     * @param capacityTokens the size of the replica's cache
     */
    public void add(Prompt prompt, long capacityTokens) {
        for (var i = 0; i < prompt.segmentCount(); i++) {
            var segment = prompt.segment(i);
            if (contains(segment)) {
                tokensBySegment.getAndMoveToLast(segment);
            } else {
                tokensBySegment.putAndMoveToLast(segment, prompt.segmentTokens(i));
                totalTokens += prompt.segmentTokens(i);
            }
        }
        while (!tokensBySegment.isEmpty()
                && (totalTokens > capacityTokens * USABLE_SHARE
                        || tokensBySegment.size() > MAX_SEGMENTS)) {
            totalTokens -= tokensBySegment.removeFirstInt();
        }
    }
}
