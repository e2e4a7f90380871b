package martenloom.core.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.common.load.LoadSummary;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.load.PrefixLocations.Location;

/**
 * Sends the total over all homes to the edges of this home: as a stream to those that have
 * subscribed, else whole, as edges of the first version expect it. Runs on the reactor thread.
 */
final class EdgeLoadStream {
    /** An update names at most so many suspected replicas of the zone. */
    private static final int MAX_SUSPECTED = 64;

    private final EdgeLinks edges;
    private final ToLongFunction<String> sequenceOf;
    private final LoadStream stream;

    /** The link on which each edge has subscribed. */
    private final Map<String, PeerLink> subscribers = new HashMap<>();

    /**
     * @param sequenceOf the newest sample of an edge that the total includes
     */
    EdgeLoadStream(
            EdgeLinks edges, PrefixLocations prefixLocations, ToLongFunction<String> sequenceOf) {
        this.edges = edges;
        this.sequenceOf = sequenceOf;
        stream = new LoadStream(Audience.EDGES, prefixLocations);
    }

    /** Sends what has changed to all edges. */
    void publish(LoadSummary total, LoadSummary ownSum) {
        var locations = stream.drainLocations();
        var update =
                ownSum.writeSuspected(
                                new RecordWriter().raw(stream.nextUpdate(total, locations)),
                                MAX_SUSPECTED)
                        .bytes();
        var allSubscribed =
                edges.edgeIps().stream()
                        .allMatch(ip -> edges.link(ip).filter(link -> isOn(ip, link)).isPresent());
        var whole = allSubscribed ? update : whole(total, locations, ownSum);
        edges.forEach(
                (edgeIp, link) ->
                        link.send(
                                isOn(edgeIp, link)
                                        ? LoadStream.record(sequenceOf.applyAsLong(edgeIp), update)
                                        : wholeRecord(edgeIp, whole)));
    }

    private boolean isOn(String edgeIp, PeerLink link) {
        return subscribers.get(edgeIp) == link;
    }

    private static byte[] whole(LoadSummary total, List<Location> locations, LoadSummary ownSum) {
        var out = total.write(new RecordWriter());
        return ownSum.onlySuspected().write(PrefixLocations.writeLong(locations, out)).bytes();
    }

    private byte[] wholeRecord(String edgeIp, byte[] whole) {
        return new RecordWriter(RecordType.TOTAL_LOAD)
                .i64(sequenceOf.applyAsLong(edgeIp))
                .raw(whole)
                .bytes();
    }

    /** An edge asks for the stream on its current link. */
    void subscribe(String edgeIp, PeerLink link, LoadSummary ownSum) {
        subscribers.put(edgeIp, link);
        var snapshot =
                ownSum.writeSuspected(new RecordWriter().raw(stream.snapshot()), MAX_SUSPECTED);
        link.send(LoadStream.record(sequenceOf.applyAsLong(edgeIp), snapshot.bytes()));
    }

    /** An edge is no longer linked to this home. */
    void unsubscribe(String edgeIp) {
        subscribers.remove(edgeIp);
    }
}
