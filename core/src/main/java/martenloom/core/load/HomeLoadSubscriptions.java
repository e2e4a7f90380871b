package martenloom.core.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSubscription;
import martenloom.core.load.PrefixLocations.Location;
import martenloom.core.peer.CorePeerLinks;

/**
 * The subscriptions of this home to the loads of the other homes. Whoever sends its load whole, or
 * an update that does not follow the last one, is asked for its stream. Runs on the reactor thread.
 */
final class HomeLoadSubscriptions {
    /** A home is asked again when it has sent no snapshot for so long. */
    private static final long ASK_AGAIN_US = 700_000;

    private final CorePeerLinks peers;
    private final LoadAggregator aggregator;
    private final PrefixLocations prefixLocations;
    private final Map<String, LoadSubscription> byHome = new HashMap<>();
    private final Map<String, Long> askedUs = new HashMap<>();

    HomeLoadSubscriptions(
            CorePeerLinks peers, LoadAggregator aggregator, PrefixLocations prefixLocations) {
        this.peers = peers;
        this.aggregator = aggregator;
        this.prefixLocations = prefixLocations;
    }

    /** Asks a home for its stream, unless it was just asked. */
    void request(String home, long nowUs) {
        if (nowUs - askedUs.getOrDefault(home, nowUs - ASK_AGAIN_US) >= ASK_AGAIN_US) {
            askedUs.put(home, nowUs);
            peers.send(home, new RecordWriter(RecordType.LOAD_SUBSCRIPTION).bytes());
        }
    }

    /** An update or a snapshot of another home. */
    void onUpdate(String home, RecordReader in, long nowUs) {
        var subscription = byHome.computeIfAbsent(home, unused -> new LoadSubscription());
        var wasInSync = subscription.isInSync();
        in.varint();
        if (subscription.take(in, new HashSet<>()) == LoadSubscription.Outcome.MISSED_SOME) {
            request(home, nowUs);
            return;
        }
        aggregator.acceptHome(
                home,
                subscription.publication(),
                subscription.number(),
                subscription.loads(),
                nowUs);
        for (var location : in.shortList(Location::read)) {
            if (wasInSync) {
                prefixLocations.addFromHome(location);
            } else {
                prefixLocations.addFromSnapshot(location);
            }
        }
    }
}
