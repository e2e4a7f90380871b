package martenloom.simulation.network;

import java.util.HashMap;
import java.util.Map;

/**
 * The links that carry nothing. Partitions may overlap: a link works again when each partition that
 * includes it has healed.
 */
final class Partitions {
    private final Map<Link, Integer> partitionsByLink = new HashMap<>();

    void add(Link link) {
        partitionsByLink.merge(link, 1, Integer::sum);
    }

    void remove(Link link) {
        partitionsByLink.computeIfPresent(
                link, (key, count) -> count == 1 ? null : Integer.valueOf(count - 1));
    }

    void clear() {
        partitionsByLink.clear();
    }

    boolean contains(Link link) {
        return partitionsByLink.containsKey(link);
    }

    /** Whether at least one direction between the two machines of a link carries nothing. */
    boolean containsEitherWay(Link link) {
        return contains(link) || contains(link.reversed());
    }
}
