package martenloom.newsstand;

import java.util.*;
import martenloom.galley.fleet.*;
import martenloom.galley.record.*;
import martenloom.galley.tally.*;
import martenloom.newsstand.floor.*;
import martenloom.newsstand.rack.*;

/**
 * This edge's side of the sums: writes its own part for the home when it has changed, and turns a whole that comes back
 * into what the others have, by taking away the part of ours that the whole names. Doubts are taken from the edges of our
 * hall only: those elsewhere may be cut off from a replica that is well and in our reach.
 */
final class LoadView {
    private static final int TOLD = 32;
    private static final int QUIET_TURNS = 5;
    private static final long HEARD_US = 250_000;

    private final Rack rack;
    private final Floor floor;
    private final String ip;
    private final long life;
    private final LinkedHashMap<Long, Tally> told = new LinkedHashMap<>();
    private byte[] last = new byte[0];
    private long seq;
    private int quiet;
    private Tally whole = new Tally();
    private long wholeUs;

    LoadView(Rack r, Floor f, String ip, long life) {
        rack = r;
        floor = f;
        this.ip = ip;
        this.life = life;
    }

    /** The sum over all edges that came last. */
    Tally whole() {
        return whole;
    }

    long wholeUs() {
        return wholeUs;
    }

    Optional<byte[]> part(long now) {
        var t = Tally.ofEdge();
        for (var s : rack.all()) {
            var doubt = s.suspectUntilUs > now && s.doubtful || s.wondering;
            var bad = s.fitness.bad(now);
            var ok = s.fitness.ok(now);
            if (s.mine > 0 || doubt || bad + ok > 0) {
                var l = t.put(s.row.id, s.mine, s.unread, doubt);
                l.ok = ok;
                l.bad = bad;
                l.heard = !doubt && now - s.heardUs < HEARD_US ? 1 : 0;
            }
        }
        floor.inFlight(t);
        var b = t.write(new Rec.Out()).bytes();
        if (Arrays.equals(b, last) && floor.places.told() && ++quiet < QUIET_TURNS) {
            return Optional.empty();
        }
        quiet = 0;
        last = b;
        told.put(++seq, t);
        if (told.size() > TOLD) {
            told.remove(told.keySet().iterator().next());
        }
        var o = t.write(new Rec.Out(Rows.SAMPLE).text(ip).i64(life).i64(seq));
        floor.places.write(o);
        return Optional.of(o.bytes());
    }

    void onWhole(Rec.In in, long now) {
        var mine = told.getOrDefault(in.i64(), new Tally());
        whole = Tally.read(in);
        wholeUs = now;
        floor.places.read(in);
        var hall = Tally.read(in);
        for (var s : rack.all()) {
            var a = whole.load(s.row.id);
            var m = mine.load(s.row.id);
            var h = hall.load(s.row.id);
            s.others(a.inHand - m.inHand, a.unread - m.unread, h.doubts - m.doubts, h.heard - m.heard, now);
            if (a.bad > 0) {
                rack.judge(s, a.ok, a.bad, h.ok, h.bad, now);
            }
        }
    }
}
