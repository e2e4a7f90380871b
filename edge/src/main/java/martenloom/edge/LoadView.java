package martenloom.edge;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.load.LoadSummary;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.replica.ReplicaTable;

/**
 * This edge's side of the sums: writes its own part for the home when it has changed, and turns a
 * whole that comes back into what the others have, by taking away the part of ours that the whole
 * names. Doubts are taken from the edges of our zone only: those elsewhere may be cut off from a
 * replica that is well and in our reach.
 */
final class LoadView {
    private static final int TOLD = 32;
    private static final int QUIET_TURNS = 5;
    private static final long HEARD_US = 250_000;

    private final ReplicaTable replicaTable;
    private final RequestDispatcher dispatcher;
    private final String ip;
    private final long life;
    private final LinkedHashMap<Long, LoadSummary> told = new LinkedHashMap<>();
    private byte[] last = new byte[0];
    private long seq;
    private int quiet;
    private LoadSummary whole = new LoadSummary();
    private long wholeUs;

    LoadView(ReplicaTable r, RequestDispatcher f, String ip, long life) {
        replicaTable = r;
        dispatcher = f;
        this.ip = ip;
        this.life = life;
    }

    /** The sum over all edges that came last. */
    LoadSummary whole() {
        return whole;
    }

    long wholeUs() {
        return wholeUs;
    }

    Optional<byte[]> part(long now) {
        var t = LoadSummary.ofEdge();
        for (var s : replicaTable.all()) {
            var doubt = s.reachability().reportsSuspicion(now);
            var bad = s.health().failures(now);
            var ok = s.health().successes(now);
            if (s.load().ownInFlight() > 0 || doubt || bad + ok > 0) {
                var l =
                        t.addReplica(
                                s.id(),
                                s.load().ownInFlight(),
                                s.load().ownPendingPrefillTokens(),
                                doubt);
                l.setSuccesses(ok);
                l.setFailures(bad);
                l.setHearingEdges(!doubt && now - s.reachability().heardUs() < HEARD_US ? 1 : 0);
            }
        }
        dispatcher.inFlight(t);
        var b = t.write(new RecordWriter()).bytes();
        if (Arrays.equals(b, last) && dispatcher.places.isAllReported() && ++quiet < QUIET_TURNS) {
            return Optional.empty();
        }
        quiet = 0;
        last = b;
        told.put(++seq, t);
        if (told.size() > TOLD) {
            told.remove(told.keySet().iterator().next());
        }
        var o = t.write(new RecordWriter(RecordType.LOAD_SAMPLE).text(ip).i64(life).i64(seq));
        dispatcher.places.writeUnreported(o);
        return Optional.of(o.bytes());
    }

    void onWhole(RecordReader in, long now) {
        var mine = told.getOrDefault(in.i64(), new LoadSummary());
        whole = LoadSummary.read(in);
        wholeUs = now;
        dispatcher.places.readReported(in);
        var zone = LoadSummary.read(in);
        for (var s : replicaTable.all()) {
            var a = whole.replicaLoad(s.id());
            var m = mine.replicaLoad(s.id());
            var h = zone.replicaLoad(s.id());
            s.onPeerTotals(
                    a.inFlight() - m.inFlight(),
                    a.pendingPrefillTokens() - m.pendingPrefillTokens(),
                    h.suspectingEdges() - m.suspectingEdges(),
                    h.hearingEdges() - m.hearingEdges(),
                    now);
            if (a.failures() > 0) {
                replicaTable.ejectIfOutlier(
                        s, a.successes(), a.failures(), h.successes(), h.failures(), now);
            }
        }
    }
}
