package martenloom.core.load;

import java.security.SecureRandom;
import java.util.List;
import java.util.function.Predicate;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.common.settings.Settings;
import martenloom.core.edge.EdgeLinks;
import martenloom.core.peer.CorePeerLinks;

/**
 * Exchanges sums of load: takes the samples of the edges of this home, gives their sum to the other
 * homes, those of our region more often than the others, and gives the sum over all homes to the
 * edges. Runs on the reactor thread.
 */
public final class LoadPublisher {
    private static final int FAR_TURNS = 5;
    private static final int QUIET_TURNS = 5;

    private final Settings settings;
    private final CorePeerLinks peers;
    private final EdgeLinks homes;
    private final LoadAggregator aggregator = new LoadAggregator();
    private final long life = new SecureRandom().nextLong();
    private long turns;
    private long toldVersion = -1;

    public LoadPublisher(Settings settings, CorePeerLinks peers, EdgeLinks homes) {
        this.settings = settings;
        this.peers = peers;
        this.homes = homes;
    }

    /** One turn: sends our sum to the homes, and the whole sum to our edges if it has changed. */
    public void exchange() {
        var now = Clocks.nowUs();
        turns++;
        var own = aggregator.own(now);
        sendToPeers(peers::ofOurRegion, LoadAggregator.Way.REGION, own);
        if (turns % FAR_TURNS == 0) {
            sendToPeers(ip -> !peers.ofOurRegion(ip), LoadAggregator.Way.FAR, own);
        }
        var quiet = turns % QUIET_TURNS == 0;
        if (quiet || aggregator.version() != toldVersion || aggregator.hasPlaces()) {
            sendToEdges(own, now);
        }
    }

    private void sendToPeers(Predicate<String> which, LoadAggregator.Way way, LoadSummary own) {
        List<String> receivers = peers.dialed().stream().filter(which).toList();
        if (receivers.isEmpty()) {
            return;
        }
        var out =
                new RecordWriter(RecordType.HOME_LOAD)
                        .text(settings.ipAddress())
                        .i64(life)
                        .i64(turns);
        own.write(out);
        aggregator.writePlaces(out, way);
        var record = out.bytes();
        receivers.forEach(ip -> peers.send(ip, record));
    }

    private void sendToEdges(LoadSummary own, long now) {
        toldVersion = aggregator.version();
        var out = aggregator.whole(own, now).write(new RecordWriter());
        aggregator.writePlaces(out, LoadAggregator.Way.EDGES);
        own.onlySuspected().write(out);
        var sum = out.bytes();
        homes.forEach((edgeIp, link) -> link.send(wholeSum(edgeIp, sum)));
    }

    private byte[] wholeSum(String edgeIp, byte[] sum) {
        return new RecordWriter(RecordType.TOTAL_LOAD)
                .i64(aggregator.seqOf(edgeIp))
                .raw(sum)
                .bytes();
    }

    /** The load of an edge. */
    public void onSample(RecordReader in) {
        var edgeIp = in.text();
        var edgeLife = in.i64();
        var sequence = in.i64();
        var sample = LoadSummary.read(in);
        if (aggregator.take(edgeIp, edgeLife, sequence, sample, Clocks.nowUs())) {
            takePlaces(in, true);
        }
    }

    /** The sum of the edges of another home. */
    public void onHomeSum(RecordReader in) {
        var homeIp = in.text();
        var homeLife = in.i64();
        var sequence = in.i64();
        var sum = LoadSummary.read(in);
        if (aggregator.takeHome(homeIp, homeLife, sequence, sum, Clocks.nowUs())) {
            takePlaces(in, false);
        }
    }

    private void takePlaces(RecordReader in, boolean fromEdge) {
        in.list(
                place -> {
                    aggregator.place(place.text(), place.text(), fromEdge);
                    return 0;
                });
    }

    /** An edge has left this home; its last sample no longer counts. */
    public void edgeLost(String edgeIp) {
        aggregator.lapse(edgeIp);
    }
}
