package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;

/**
 * What this edge believes one replica to have in its prefix cache: the parts of the prompts that
 * were sent there, the least recently used given up first. Runs on the reactor thread.
 */
public final class PrefixCache {
    private static final int MAX_PARTS = 4096;

    /** The part of the replica's cache that is counted on; the rest is left to other edges. */
    private static final double USABLE_SHARE = 0.7;

    private final Object2IntLinkedOpenHashMap<String> tokensByPart =
            new Object2IntLinkedOpenHashMap<>();
    private long totalTokens;

    /** The tokens of all parts in the cache. */
    public long totalTokens() {
        return totalTokens;
    }

    /** Whether a part is in the cache. */
    public boolean contains(String part) {
        return tokensByPart.containsKey(part);
    }

    /**
     * The tokens of a prompt that the replica would have to prefill: those behind the first part
     * that it lacks.
     *
     * @param assumeShared whether all parts but the last are taken to be in the cache
     */
    public int missingTokens(Prompt prompt, boolean assumeShared) {
        var parts = prompt.parts();
        var sizes = prompt.partTokens();
        if (sizes.isEmpty()) {
            return prompt.promptTokens();
        }
        var missing = 0;
        var cached = true;
        for (var i = 0; i < sizes.size(); i++) {
            cached = cached && (contains(parts.get(i)) || assumeShared && i + 1 < sizes.size());
            missing += cached ? 0 : sizes.get(i);
        }
        return Math.max(missing, 1);
    }

    /**
     * A prompt was sent: its parts are in the cache from now on.
     *
     * @param capacityTokens the size of the replica's cache
     */
    public void add(Prompt prompt, long capacityTokens) {
        var parts = prompt.parts();
        var sizes = prompt.partTokens();
        for (var i = 0; i < sizes.size(); i++) {
            var part = parts.get(i);
            if (contains(part)) {
                tokensByPart.getAndMoveToLast(part);
            } else {
                tokensByPart.putAndMoveToLast(part, sizes.get(i));
                totalTokens += sizes.get(i);
            }
        }
        while (!tokensByPart.isEmpty()
                && (totalTokens > capacityTokens * USABLE_SHARE
                        || tokensByPart.size() > MAX_PARTS)) {
            totalTokens -= tokensByPart.removeFirstInt();
        }
    }
}
