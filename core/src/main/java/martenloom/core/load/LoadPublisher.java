package martenloom.core.load;

import java.security.SecureRandom;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.common.settings.Settings;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.load.PrefixLocations.Audience;
import martenloom.core.peer.CorePeerLinks;

/**
 * Exchanges load summaries: takes the samples of the edges of this home, sends their sum to the
 * other homes, to those of the own region more often than to the rest, and sends the total over all
 * homes to the edges. Runs on the reactor thread.
 */
public final class LoadPublisher {
    /** The homes of other regions get the sum once in so many rounds. */
    private static final int ROUNDS_BETWEEN_REGIONS = 5;

    /** The edges get an unchanged total once in so many rounds. */
    private static final int ROUNDS_UNCHANGED = 5;

    private static final long NEVER_SENT = -1;

    private final Settings settings;
    private final CorePeerLinks peers;
    private final EdgeLinks edges;
    private final LoadAggregator aggregator = new LoadAggregator();
    private final PrefixLocations prefixLocations = new PrefixLocations();
    private final long incarnation = new SecureRandom().nextLong();
    private long round;
    private long sentVersion = NEVER_SENT;

    /** Publishes nothing until {@link #publish} is called. */
    public LoadPublisher(Settings settings, CorePeerLinks peers, EdgeLinks edges) {
        this.settings = settings;
        this.peers = peers;
        this.edges = edges;
    }

    /** One round: sends our sum to the homes, and the total to our edges if it has changed. */
    public void publish() {
        var nowUs = Clocks.nowUs();
        round++;
        var ownSum = aggregator.ownSum(nowUs);
        sendToHomes(peers::isInOwnRegion, Audience.HOMES_IN_REGION, ownSum);
        if (round % ROUNDS_BETWEEN_REGIONS == 0) {
            sendToHomes(ip -> !peers.isInOwnRegion(ip), Audience.HOMES_ELSEWHERE, ownSum);
        }
        if (round % ROUNDS_UNCHANGED == 0
                || aggregator.version() != sentVersion
                || prefixLocations.isPendingForEdges()) {
            sendToEdges(ownSum, nowUs);
        }
    }

    private void sendToHomes(Predicate<String> receivers, Audience audience, LoadSummary ownSum) {
        var homes = peers.dialed().stream().filter(receivers).toList();
        if (homes.isEmpty()) {
            return;
        }
        var out =
                new RecordWriter(RecordType.HOME_LOAD)
                        .text(settings.ipAddress())
                        .i64(incarnation)
                        .i64(round);
        ownSum.write(out);
        prefixLocations.drainTo(out, audience);
        var record = out.bytes();
        homes.forEach(ip -> peers.send(ip, record));
    }

    private void sendToEdges(LoadSummary ownSum, long nowUs) {
        sentVersion = aggregator.version();
        var out = aggregator.total(ownSum, nowUs).write(new RecordWriter());
        prefixLocations.drainTo(out, Audience.EDGES);
        ownSum.onlySuspected().write(out);
        var total = out.bytes();
        edges.forEach((edgeIp, link) -> link.send(totalLoad(edgeIp, total)));
    }

    private byte[] totalLoad(String edgeIp, byte[] total) {
        return new RecordWriter(RecordType.TOTAL_LOAD)
                .i64(aggregator.sequenceOf(edgeIp))
                .raw(total)
                .bytes();
    }

    /** The load of an edge of this home. */
    public void onEdgeSample(RecordReader in) {
        var edgeIp = in.text();
        var edgeIncarnation = in.i64();
        var sequence = in.i64();
        var sample = LoadSummary.read(in);
        if (aggregator.acceptEdge(edgeIp, edgeIncarnation, sequence, sample, Clocks.nowUs())) {
            readPrefixLocations(in, prefixLocations::addFromEdge);
        }
    }

    /** The sum over the edges of another home. */
    public void onHomeSum(RecordReader in) {
        var homeIp = in.text();
        var homeIncarnation = in.i64();
        var sequence = in.i64();
        var sum = LoadSummary.read(in);
        if (aggregator.acceptHome(homeIp, homeIncarnation, sequence, sum, Clocks.nowUs())) {
            readPrefixLocations(in, prefixLocations::addFromHome);
        }
    }

    private static void readPrefixLocations(RecordReader in, BiConsumer<String, String> add) {
        in.list(
                location -> {
                    add.accept(location.text(), location.text());
                    return 0;
                });
    }

    /** An edge is no longer subscribed to this home: its last sample counts no more. */
    public void removeEdge(String edgeIp) {
        aggregator.removeEdge(edgeIp);
    }
}
