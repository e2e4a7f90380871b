package martenloom.core.load;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import martenloom.common.codec.RecordWriter;

/**
 * Where prefixes of prompts have entered a replica's cache, as edges report it, waiting to be sent
 * on. Each location goes once to each audience; what another home has sent goes to the edges of
 * this home only. The backlog for an audience is bounded, and what exceeds it is dropped. Runs on
 * the reactor thread.
 */
final class PrefixLocations {
    private static final int MAX_BACKLOG = 512;

    /** To whom locations are sent. */
    enum Audience {
        EDGES,
        HOMES_IN_REGION,
        HOMES_ELSEWHERE
    }

    /** The replica by prefix, for each audience. */
    private final Map<Audience, Map<String, String>> backlogs = new EnumMap<>(Audience.class);

    PrefixLocations() {
        for (var audience : Audience.values()) {
            backlogs.put(audience, new LinkedHashMap<>());
        }
    }

    /** An edge of this home has reported a location. */
    void addFromEdge(String prefix, String replica) {
        backlogs.values().forEach(backlog -> add(backlog, prefix, replica));
    }

    /** Another home has sent a location on. */
    void addFromHome(String prefix, String replica) {
        add(backlogs.get(Audience.EDGES), prefix, replica);
    }

    private static void add(Map<String, String> backlog, String prefix, String replica) {
        if (backlog.size() < MAX_BACKLOG || backlog.containsKey(prefix)) {
            backlog.put(prefix, replica);
        }
    }

    /** Whether there is something to be sent to the edges. */
    boolean isPendingForEdges() {
        return !backlogs.get(Audience.EDGES).isEmpty();
    }

    /** Moves the backlog for an audience into a record. */
    void drainTo(RecordWriter out, Audience audience) {
        var backlog = backlogs.get(audience);
        out.list(
                backlog.entrySet(),
                (entryOut, entry) -> entryOut.text(entry.getKey()).text(entry.getValue()));
        backlog.clear();
    }
}
