package martenloom.edge.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.Prompt;
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
    boolean isCached(ReplicaTable.Slot replica, Request request) {
        var prompt = request.prompt();
        return prompt.hasShared()
                && prompt.hasLargeShared()
                && prefixOwners
                        .prefixOwner(prompt.lastShared())
                        .filter(replica.row.id::equals)
                        .isPresent();
    }

    /** The large shared segments of a prompt were sent to a replica, to which they now belong. */
    void onSent(Prompt prompt, ReplicaTable.Slot replica) {
        prefixOwners.put(prompt.lastShared(), replica.row.id);
    }

    /** The replicas of all allowed regions, in the order in which the segments belong to them. */
    List<ReplicaTable.Slot> ownersInOrder(List<ReplicaTable.Slot> replicas, Request request) {
        var owners = new ArrayList<ReplicaTable.Slot>();
        for (var replica : replicas) {
            if (request.route().allows(replica.region) && mayOwn(replica)) {
                owners.add(replica);
            }
        }
        var segment = request.prompt().lastShared();
        owners.sort(
                Comparator.comparingInt((ReplicaTable.Slot replica) -> weight(segment, replica))
                        .reversed());
        prefixOwners
                .prefixOwner(segment)
                .flatMap(replicaTable::slot)
                .filter(owners::remove)
                .ifPresent(last -> owners.add(0, last));
        return owners;
    }

    /** The replica of one region to which the segments belong by hash. */
    Optional<ReplicaTable.Slot> ownerInRegion(
            List<ReplicaTable.Slot> replicas, Request request, String region) {
        var segment = request.prompt().lastShared();
        var owner = Optional.<ReplicaTable.Slot>empty();
        var highest = Integer.MIN_VALUE;
        for (var replica : replicas) {
            if (replica.region.equals(region) && mayOwn(replica)) {
                var weight = weight(segment, replica);
                if (weight > highest) {
                    highest = weight;
                    owner = Optional.of(replica);
                }
            }
        }
        return owner;
    }

    private static boolean mayOwn(ReplicaTable.Slot replica) {
        return !replica.row.draining && !replica.row.silent && !replica.resting;
    }

    private static int weight(String segment, ReplicaTable.Slot replica) {
        return mix(segment.hashCode() * HASH_FACTOR + replica.row.id.hashCode());
    }

    /** Spreads a hash over all bits. */
    private static int mix(int hash) {
        var mixed = (hash ^ hash >>> HALF_SHIFT) * FIRST_MULTIPLIER;
        mixed = (mixed ^ mixed >>> THIRD_SHIFT) * SECOND_MULTIPLIER;
        return mixed ^ mixed >>> HALF_SHIFT;
    }
}
