package martenloom.edge.replica;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * Where large shared parts of prompts were last sent, by any edge: each edge tells its peers, by
 * way of the homes, so that a replica that comes new does not draw parts away from those that keep
 * them. Bounded; the oldest give way.
 */
public final class PrefixOwners {
    private static final int MOST = 4096;
    private static final int MOST_TOLD = 256;

    private final Object2ObjectLinkedOpenHashMap<String, String> at =
            new Object2ObjectLinkedOpenHashMap<>();
    private final Map<String, String> untold = new LinkedHashMap<>();

    public Optional<String> prefixOwner(String part) {
        return Optional.ofNullable(at.get(part));
    }

    /** Our own sending, to be told to peers by way of the home. */
    public void put(String part, String replica) {
        learn(part, replica);
        if (untold.size() < MOST_TOLD) {
            untold.put(part, replica);
        }
    }

    public boolean told() {
        return untold.isEmpty();
    }

    private void learn(String part, String replica) {
        at.putAndMoveToLast(part, replica);
        while (at.size() > MOST) {
            at.removeFirst();
        }
    }

    /** For the shell: the newest parts and their prefix owners. */
    public String text(int most) {
        var b = new StringBuilder("parts ").append(at.size()).append('\n');
        at.object2ObjectEntrySet().stream()
                .skip(Math.max(0, at.size() - most))
                .forEach(
                        e -> b.append(e.getKey()).append(" at ").append(e.getValue()).append('\n'));
        return b.toString();
    }

    /** Writes what has not been told yet. */
    public void write(RecordWriter o) {
        o.list(untold.entrySet(), (w, e) -> w.text(e.getKey()).text(e.getValue()));
        untold.clear();
    }

    public void read(RecordReader in) {
        in.list(
                x -> {
                    learn(x.text(), x.text());
                    return 0;
                });
    }
}
