package martenloom.newsstand.rack;

import it.unimi.dsi.fastutil.objects.*;
import java.util.*;
import martenloom.galley.record.*;

/**
 * Where large shared parts of prompts were last sent, by any edge: each edge tells its siblings with its samples, so that
 * a replica that comes new does not draw parts away from those that keep them. Bounded; the oldest give way.
 */
public final class Places {
    private static final int MOST = 4096;
    private static final int MOST_TOLD = 256;

    private final Object2ObjectLinkedOpenHashMap<String, String> at = new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, String> near = new LinkedHashMap<>();
    private final Map<String, String> far = new LinkedHashMap<>();

    public Optional<String> keeper(String part) {
        return Optional.ofNullable(at.get(part));
    }

    /** Our own sending, to be told to siblings. */
    public void put(String part, String replica) {
        learn(part, replica);
        tell(near, part, replica);
        tell(far, part, replica);
    }

    private static void tell(Map<String, String> m, String part, String replica) {
        if (m.size() < MOST_TOLD) {
            m.put(part, replica);
        }
    }

    private void learn(String part, String replica) {
        at.putAndMoveToLast(part, replica);
        while (at.size() > MOST) {
            at.removeFirst();
        }
    }

    /** Writes what has not been told yet, to the region's siblings or to those elsewhere. */
    public void write(Rec.Out o, boolean elsewhere) {
        var m = elsewhere ? far : near;
        o.list(m.entrySet(), (w, e) -> w.text(e.getKey()).text(e.getValue()));
        m.clear();
    }

    public void read(Rec.In in) {
        in.list(x -> {
            learn(x.text(), x.text());
            return 0;
        });
    }
}
