package martenloom.core.load;

import java.security.SecureRandom;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.link.PeerLink;
import martenloom.common.load.LoadSummary;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.load.PrefixLocations.Location;
import martenloom.core.peer.CorePeerLinks;
import martenloom.core.peer.PeerRegions;

/**
 * Exchanges loads: takes the samples of the edges of this home, sends their sum to the other homes,
 * to those of the own region more often than to the rest, and sends the total over all homes to the
 * edges. All three are streams of changes whose size has a bound; see {@link
 * martenloom.common.load.LoadPublication}. Runs on the reactor thread.
 */
public final class LoadPublisher {
    /** The homes of other regions get the sum once in so many rounds. */
    private static final int ROUNDS_BETWEEN_REGIONS = 5;

    /** The edges get an unchanged total once in so many rounds. */
    private static final int ROUNDS_UNCHANGED = 5;

    private static final long NEVER_SENT = -1;

    private final EdgeLinks edges;
    private final LoadAggregator aggregator = new LoadAggregator();
    private final PrefixLocations prefixLocations = new PrefixLocations();
    private final HomeLoadStream homesInRegion;
    private final HomeLoadStream homesElsewhere;
    private final EdgeLoadStream edgeStream;
    private final HomeLoadSubscriptions subscriptions;
    private long round;
    private long sentVersion = NEVER_SENT;

    /** Publishes nothing until {@link #publish} is called. */
    public LoadPublisher(CorePeerLinks peers, PeerRegions regions, EdgeLinks edges) {
        this.edges = edges;
        var incarnation = new SecureRandom().nextLong();
        homesInRegion =
                new HomeLoadStream(
                        peers,
                        Audience.HOMES_IN_REGION,
                        regions::isInOwnRegion,
                        prefixLocations,
                        incarnation);
        homesElsewhere =
                new HomeLoadStream(
                        peers,
                        Audience.HOMES_ELSEWHERE,
                        ip -> !regions.isInOwnRegion(ip),
                        prefixLocations,
                        incarnation);
        edgeStream = new EdgeLoadStream(edges, prefixLocations, aggregator::sequenceOf);
        subscriptions = new HomeLoadSubscriptions(peers, aggregator, prefixLocations);
    }

    /** One round: sends our sum to the homes, and the total to our edges if it has changed. */
    public void publish() {
        var nowUs = Clocks.nowUs();
        round++;
        var ownSum = aggregator.ownSum(nowUs);
        homesInRegion.publish(ownSum, round);
        if (round % ROUNDS_BETWEEN_REGIONS == 0) {
            homesElsewhere.publish(ownSum, round);
        }
        if (round % ROUNDS_UNCHANGED == 0
                || aggregator.version() != sentVersion
                || prefixLocations.isPendingForEdges()) {
            sentVersion = aggregator.version();
            edgeStream.publish(aggregator.total(ownSum, nowUs), ownSum);
        }
    }

    /** The load of an edge of this home. */
    public void onEdgeSample(RecordReader in) {
        var edgeIp = in.text();
        var edgeIncarnation = in.i64();
        var sequence = in.i64();
        var sample = LoadSummary.read(in);
        if (aggregator.acceptEdge(edgeIp, edgeIncarnation, sequence, sample, Clocks.nowUs())) {
            in.list(Location::readLong).forEach(prefixLocations::addFromEdge);
        }
    }

    /** The whole sum over the edges of another home, which is asked for its stream instead. */
    public void onHomeSum(PeerLink link, RecordReader in) {
        var homeIp = in.text();
        var homeIncarnation = in.i64();
        var sequence = in.i64();
        var sum = LoadSummary.read(in);
        var nowUs = Clocks.nowUs();
        if (aggregator.acceptHome(homeIp, homeIncarnation, sequence, sum, nowUs)) {
            in.list(Location::readLong).forEach(prefixLocations::addFromHome);
        }
        subscriptions.request(link.peer(), nowUs);
    }

    /** An update of the stream of another home. */
    public void onHomeUpdate(PeerLink link, RecordReader in) {
        subscriptions.onUpdate(link.peer(), in, Clocks.nowUs());
    }

    /** An edge of this home, or another home, asks for the stream of loads. */
    public void onSubscription(PeerLink link) {
        var edgeIp = edges.edgeOf(link);
        if (edgeIp.isPresent()) {
            edgeStream.subscribe(edgeIp.get(), link, aggregator.ownSum(Clocks.nowUs()));
        } else if (!homesInRegion.subscribe(link.peer())) {
            homesElsewhere.subscribe(link.peer());
        }
    }

    /** The link to another home is a new one: it gets whole sums until it asks for the stream. */
    public void onPeerConnected(String ip) {
        homesInRegion.unsubscribe(ip);
        homesElsewhere.unsubscribe(ip);
    }

    /** An edge is no longer subscribed to this home: its last sample counts no more. */
    public void removeEdge(String edgeIp) {
        aggregator.removeEdge(edgeIp);
        edgeStream.unsubscribe(edgeIp);
    }
}
