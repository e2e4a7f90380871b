package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.Prompt;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaTable;

/**
 * Says to which replicas the shared segments of a prompt belong, so that each is prefilled once in
 * all regions: the one where some edge last sent it, then those by rendezvous hashing, the same at
 * every edge. Runs on the reactor thread.
 */
final class PrefixCacheOwnership {
    private static final int HASH_FACTOR = 31;
    private static final int HALF_SHIFT = 16;
    private static final int THIRD_SHIFT = 15;
    private static final int FIRST_MULTIPLIER = 0x7feb352d;
    private static final int SECOND_MULTIPLIER = 0x846ca68b;

    private final ReplicaTable replicaTable;
    private final PrefixOwners prefixOwners;

    PrefixCacheOwnership(ReplicaTable replicaTable, PrefixOwners prefixOwners) {
        this.replicaTable = replicaTable;
        this.prefixOwners = prefixOwners;
    }

    /**
     * Whether this replica is where some edge last sent the request's large shared segments, so
     * that it need not prefill them.
     */
    boolean isCached(ReplicaEndpoint replica, Request request) {
        var prompt = request.prompt();
        return prompt.hasShared()
                && prompt.hasLargeShared()
                && prefixOwners
                        .ownerOf(prompt.lastShared())
                        .filter(replica.id()::equals)
                        .isPresent();
    }

    /** The large shared segments of a prompt were sent to a replica, to which they now belong. */
    void onSent(Prompt prompt, ReplicaEndpoint replica, long nowUs) {
        prefixOwners.onSent(prompt.lastShared(), replica.id(), nowUs);
    }

    /** The replicas of all allowed regions, in the order in which the segments belong to them. */
    List<ReplicaEndpoint> ownersInOrder(List<ReplicaEndpoint> replicas, Request request) {
        var owners = new ArrayList<ReplicaEndpoint>();
        for (var replica : replicas) {
            if (request.route().allows(replica.region()) && mayOwn(replica)) {
                owners.add(replica);
            }
        }
        var segment = request.prompt().lastShared();
        owners.sort(
                Comparator.comparingInt((ReplicaEndpoint replica) -> weight(segment, replica))
                        .reversed());
        prefixOwners
                .ownerOf(segment)
                .flatMap(replicaTable::find)
                .filter(owners::remove)
                .ifPresent(last -> owners.add(0, last));
        return owners;
    }

    /** The replica of one region to which the segments belong by hash. */
    Optional<ReplicaEndpoint> ownerInRegion(
            List<ReplicaEndpoint> replicas, Request request, String region) {
        var segment = request.prompt().lastShared();
        var owner = Optional.<ReplicaEndpoint>empty();
        var highest = Integer.MIN_VALUE;
        for (var replica : replicas) {
            if (replica.region().equals(region) && mayOwn(replica)) {
                var weight = weight(segment, replica);
                if (weight > highest) {
                    highest = weight;
                    owner = Optional.of(replica);
                }
            }
        }
        return owner;
    }

    private static boolean mayOwn(ReplicaEndpoint replica) {
        return replica.isAvailable() && !replica.isUnloaded();
    }

    private static int weight(String segment, ReplicaEndpoint replica) {
        return mix(segment.hashCode() * HASH_FACTOR + replica.id().hashCode());
    }

    /** Spreads a hash over all bits. */
    private static int mix(int hash) {
        var mixed = (hash ^ hash >>> HALF_SHIFT) * FIRST_MULTIPLIER;
        mixed = (mixed ^ mixed >>> THIRD_SHIFT) * SECOND_MULTIPLIER;
        return mixed ^ mixed >>> HALF_SHIFT;
    }
}
