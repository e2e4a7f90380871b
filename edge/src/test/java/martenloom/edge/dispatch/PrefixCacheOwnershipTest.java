package martenloom.edge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import martenloom.edge.replica.PrefixOwners;
import martenloom.edge.replica.ReplicaEndpoint;
import martenloom.edge.replica.ReplicaFixture;
import martenloom.edge.replica.ReplicaTable;
import martenloom.routing.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Large shared segments belong to where they were last sent, else to the highest hash. */
final class PrefixCacheOwnershipTest {
    private final ReplicaTable table = ReplicaFixture.table();
    private final PrefixOwners prefixOwners = new PrefixOwners();
    private final PrefixCacheOwnership ownership = new PrefixCacheOwnership(table, prefixOwners);
    private final List<ReplicaEndpoint> replicas =
            List.of(
                    ReplicaFixture.replica(table, "one"),
                    ReplicaFixture.replica(table, "two"),
                    ReplicaFixture.replica(table, "three"),
                    ReplicaFixture.replica(table, "four"));

    private static Request request(String prefix) {
        return RequestFixture.request(
                RequestFixture.route(RouteKind.STREAMING, true, 1), "X-Prompt-Prefix", prefix);
    }

    @Test
    void everyEdgeFindsTheSameOwnerByHash() {
        var other = new PrefixCacheOwnership(table, new PrefixOwners());
        for (var i = 0; i < 20; i++) {
            var request = request("shared" + i + ":1500,own:10");
            var owners = ownership.ownersInOrder(replicas, request);
            assertEquals(owners, other.ownersInOrder(replicas, request));
            assertEquals(4, owners.size());
            assertEquals(
                    owners.get(0),
                    ownership.ownerInRegion(replicas, request, "region").orElseThrow());
        }
        assertTrue(ownership.ownerInRegion(replicas, request("a:1,b:1"), "other").isEmpty());
    }

    @Test
    void anOwnerThatIsUnloadedLeavesTheOrderOfTheOthersAsItIs() {
        var request = request("shared:1500,own:10");
        var before = ownership.ownersInOrder(replicas, request);
        before.get(0).setUnloaded(true);
        assertEquals(before.subList(1, 4), ownership.ownersInOrder(replicas, request));
    }

    @Test
    void whereTheSegmentsWereSentLastComesFirst() {
        var request = request("shared:1500,own:10");
        var last = ownership.ownersInOrder(replicas, request).get(3);
        assertFalse(ownership.isCached(last, request));
        ownership.onSent(request.prompt(), last, 0);
        assertTrue(ownership.isCached(last, request));
        assertEquals(last, ownership.ownersInOrder(replicas, request).get(0));
    }

    @Test
    void smallSharedSegmentsAreNotTakenAsCached() {
        var request = request("shared:999,own:10");
        ownership.onSent(request.prompt(), replicas.get(0), 0);
        assertFalse(ownership.isCached(replicas.get(0), request));
    }
}
