package martenloom.core.load;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import martenloom.common.codec.RecordWriter;
import martenloom.common.load.LoadSummary;

/**
 * The sums at one home daemon: the newest part of each edge that made it its home, the sums of the
 * peer homes, and the whole of both. A part carries the edge's life and a number that rises; one
 * that is late, repeated or of a former life is passed over, and a part lapses when its edge is not
 * heard or its link ends. No input or output, no clock.
 */
public final class LoadAggregator {
    public static final long EDGE_US = 2_000_000;
    public static final long HOME_US = 1_500_000;
    private static final int MOST_PLACES = 512;

    private static final class Part {
        final long life;
        long seq;
        long atUs;
        LoadSummary loadSummary;

        Part(long life) {
            this.life = life;
        }
    }

    private final Map<String, Part> edges = new HashMap<>();
    private final Map<String, Part> homes = new HashMap<>();
    private final Map<String, Set<Long>> formerLives = new HashMap<>();
    private final Map<String, String> placesHere = new LinkedHashMap<>();
    private final Map<String, String> placesAway = new LinkedHashMap<>();
    private final Map<String, String> placesFar = new LinkedHashMap<>();
    private long version;

    /** Takes an edge's part; false when it is late, repeated or of a former life. */
    public boolean take(String edge, long life, long seq, LoadSummary t, long now) {
        return take(edges, edge, life, seq, t, now);
    }

    /** Takes a peer home's sum under the same rule. */
    public boolean takeHome(String home, long life, long seq, LoadSummary t, long now) {
        return take(homes, home, life, seq, t, now);
    }

    private boolean take(
            Map<String, Part> to, String who, long life, long seq, LoadSummary t, long now) {
        var p = Optional.ofNullable(to.get(who));
        if (p.isPresent() && p.get().life == life && seq <= p.get().seq
                || formerLives.getOrDefault(who, Set.of()).contains(life)) {
            return false;
        }
        var n = p.filter(x -> x.life == life).orElseGet(() -> new Part(life));
        p.filter(x -> x != n).ifPresent(x -> retire(who, x.life));
        n.seq = seq;
        n.atUs = now;
        n.loadSummary = t;
        to.put(who, n);
        version++;
        return true;
    }

    private void retire(String who, long life) {
        var l = formerLives.computeIfAbsent(who, k -> new LinkedHashSet<>());
        l.add(life);
        if (l.size() > 8) {
            l.remove(l.iterator().next());
        }
    }

    /** An edge's link ended: what it had told counts no more here. */
    public void lapse(String edge) {
        if (edges.containsKey(edge)) {
            edges.remove(edge);
            version++;
        }
    }

    /** The sequence of the edge's part that the sums hold now, or 0. */
    public long seqOf(String edge) {
        return Optional.ofNullable(edges.get(edge)).map(p -> p.seq).orElse(0L);
    }

    /** The sum of our own edges. */
    public LoadSummary own(long now) {
        return sum(edges, now - EDGE_US);
    }

    /** The sum of all edges, as far as the homes have told. */
    public LoadSummary whole(LoadSummary own, long now) {
        return new LoadSummary().add(own).add(sum(homes, now - HOME_US));
    }

    private LoadSummary sum(Map<String, Part> of, long since) {
        var t = new LoadSummary();
        if (of.values().removeIf(p -> p.atUs < since)) {
            version++;
        }
        of.values().forEach(p -> t.add(p.loadSummary));
        return t;
    }

    /** Rises with every change, so that nothing is sent when nothing changed. */
    public long version() {
        return version;
    }

    // ---- places of large shared parts, passed on as they come

    public void place(String part, String replica, boolean fromEdge) {
        put(placesHere, part, replica);
        if (fromEdge) {
            put(placesAway, part, replica);
            put(placesFar, part, replica);
        }
    }

    private static void put(Map<String, String> m, String part, String replica) {
        if (m.size() < MOST_PLACES || m.containsKey(part)) {
            m.put(part, replica);
        }
    }

    public boolean hasPlaces() {
        return !placesHere.isEmpty();
    }

    public void writePlaces(RecordWriter o, Way way) {
        var m =
                switch (way) {
                    case EDGES -> placesHere;
                    case REGION -> placesAway;
                    case FAR -> placesFar;
                };
        o.list(m.entrySet(), (w, e) -> w.text(e.getKey()).text(e.getValue()));
        m.clear();
    }

    /** To whom places are told. */
    public enum Way {
        EDGES,
        REGION,
        FAR
    }
}
