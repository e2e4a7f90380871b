package martenloom.common.load;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * What edges see of the replicas' load, as it is added up on its way: an edge tells its own part to
 * its home, the homes add up the parts of their edges and tell each other the sums, and every edge
 * gets the whole. Attempts in hand, tokens waiting to be read, doubts and who heard it, and good
 * and bad answers of late are kept by replica; requests in flight by region and model, with the
 * number of edges that were heard.
 */
public final class LoadSummary {
    /** The load of one replica. */
    public static final class Load {
        public int inHand;
        public int unread;
        public int doubts;

        /** Edges that heard it say something just now. */
        public int heard;

        public int ok;
        public int bad;

        private void add(Load o, int sign) {
            inHand += sign * o.inHand;
            unread += sign * o.unread;
            doubts += sign * o.doubts;
            heard += sign * o.heard;
            ok += sign * o.ok;
            bad += sign * o.bad;
        }

        private boolean nothing() {
            return inHand == 0 && unread == 0 && doubts == 0 && heard == 0 && ok == 0 && bad == 0;
        }
    }

    private static final Load NONE = new Load();
    private final Map<String, Load> loads = new HashMap<>();
    private final Map<String, Integer> flights = new TreeMap<>();
    private int edges;

    public int edges() {
        return edges;
    }

    public Map<String, Integer> flights() {
        return flights;
    }

    public Load load(String replica) {
        return loads.getOrDefault(replica, NONE);
    }

    /** One edge's part begins with itself. */
    public static LoadSummary ofEdge() {
        var t = new LoadSummary();
        t.edges = 1;
        return t;
    }

    public Load put(String replica, int inHand, int unread, boolean doubt) {
        var l = loads.computeIfAbsent(replica, k -> new Load());
        l.inHand += inHand;
        l.unread += unread;
        l.doubts += doubt ? 1 : 0;
        return l;
    }

    public void fly(String regionAndModel) {
        flights.merge(regionAndModel, 1, Integer::sum);
    }

    public LoadSummary add(LoadSummary o) {
        return change(o, 1);
    }

    public LoadSummary less(LoadSummary o) {
        return change(o, -1);
    }

    private LoadSummary change(LoadSummary o, int sign) {
        o.loads.forEach(
                (k, l) -> {
                    var mine = loads.computeIfAbsent(k, x -> new Load());
                    mine.add(l, sign);
                    if (mine.nothing()) {
                        loads.remove(k);
                    }
                });
        o.flights.forEach(
                (k, n) -> {
                    if (flights.merge(k, sign * n, Integer::sum) == 0) {
                        flights.remove(k);
                    }
                });
        edges += sign * o.edges;
        return this;
    }

    /**
     * The replicas that are doubted or of which some answers were bad, with that, who heard them,
     * and nothing else.
     */
    public LoadSummary doubtful() {
        var t = new LoadSummary();
        loads.forEach(
                (k, l) -> {
                    if (l.bad > 0 || l.doubts > 0) {
                        var x = t.put(k, 0, 0, false);
                        x.doubts = l.doubts;
                        x.heard = l.heard;
                        x.ok = l.ok;
                        x.bad = l.bad;
                    }
                });
        return t;
    }

    public RecordWriter write(RecordWriter o) {
        o.i32(edges)
                .list(
                        loads.entrySet(),
                        (w, e) -> {
                            var l = e.getValue();
                            w.text(e.getKey())
                                    .i32(l.inHand)
                                    .i32(l.unread)
                                    .u8(Math.min(255, l.doubts))
                                    .u8(Math.min(255, l.heard))
                                    .i16(l.ok)
                                    .i16(l.bad);
                        });
        return o.list(flights.entrySet(), (w, e) -> w.text(e.getKey()).i32(e.getValue()));
    }

    public static LoadSummary read(RecordReader in) {
        var t = new LoadSummary();
        t.edges = in.i32();
        in.list(
                x -> {
                    var l = t.loads.computeIfAbsent(x.text(), k -> new Load());
                    l.inHand = x.i32();
                    l.unread = x.i32();
                    l.doubts = x.u8();
                    l.heard = x.u8();
                    l.ok = x.i16();
                    l.bad = x.i16();
                    return l;
                });
        in.list(x -> t.flights.put(x.text(), x.i32()));
        return t;
    }
}
