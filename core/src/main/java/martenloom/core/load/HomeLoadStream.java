package martenloom.core.load;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.load.PrefixLocations.Location;
import martenloom.core.peer.CorePeerLinks;

/**
 * Sends the sum over the edges of this home to some of the other homes: as a stream to those that
 * have subscribed, else whole, as daemons of the first version expect it. Runs on the reactor
 * thread.
 */
final class HomeLoadStream {
    private final CorePeerLinks peers;
    private final Predicate<String> receivers;
    private final long incarnation;
    private final LoadStream stream;
    private final Set<String> subscribers = new HashSet<>();

    /**
     * @param receivers which of the other homes belong to the audience
     * @param incarnation a random number of this run of the daemon
     */
    HomeLoadStream(
            CorePeerLinks peers,
            Audience audience,
            Predicate<String> receivers,
            PrefixLocations prefixLocations,
            long incarnation) {
        this.peers = peers;
        this.receivers = receivers;
        this.incarnation = incarnation;
        stream = new LoadStream(audience, prefixLocations);
    }

    /** Sends what has changed to the audience. */
    void publish(LoadSummary ownSum, long round) {
        var homes = peers.dialed().stream().filter(receivers).toList();
        if (homes.isEmpty()) {
            return;
        }
        var locations = stream.drainLocations();
        var update = LoadStream.record(0, stream.nextUpdate(ownSum, locations));
        var whole = subscribers.containsAll(homes) ? update : whole(ownSum, locations, round);
        homes.forEach(ip -> peers.send(ip, subscribers.contains(ip) ? update : whole));
    }

    private byte[] whole(LoadSummary ownSum, List<Location> locations, long round) {
        var out =
                new RecordWriter(RecordType.HOME_LOAD)
                        .text(peers.localIp())
                        .i64(incarnation)
                        .i64(round);
        return PrefixLocations.writeLong(locations, ownSum.write(out)).bytes();
    }

    /** A home asks for the stream; false when it does not belong to the audience. */
    boolean subscribe(String ip) {
        if (!receivers.test(ip)) {
            return false;
        }
        subscribers.add(ip);
        peers.send(ip, LoadStream.record(0, stream.snapshot()));
        return true;
    }

    /** The link to a home is a new one: who is there now may be of the first version. */
    void unsubscribe(String ip) {
        subscribers.remove(ip);
    }
}
