package martenloom.core.load;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenloom.common.codec.RecordReader;
import martenloom.common.codec.RecordWriter;

/**
 * Where prefixes of prompts have entered a replica's cache, as edges report it, waiting to be sent
 * on. Each location goes once to each audience; what another home has sent goes to the edges of
 * this home only. The newest locations are also kept for subscribers that begin. The backlog for an
 * audience and what is kept are bounded. Runs on the reactor thread.
 */
final class PrefixLocations {
    private static final int MAX_BACKLOG = 512;
    private static final int MAX_KEPT = 4096;

    /** To whom locations are sent. */
    enum Audience {
        EDGES,
        HOMES_IN_REGION,
        HOMES_ELSEWHERE
    }

    /** A prefix and the replica that has it cached. */
    record Location(String prefix, String replica) {
        /** Reads a location that {@link #write} wrote. */
        static Location read(RecordReader in) {
            return new Location(in.shortText(), in.shortText());
        }

        /** Reads a location as daemons of the first version write it. */
        static Location readLong(RecordReader in) {
            return new Location(in.text(), in.text());
        }

        void write(RecordWriter out) {
            out.shortText(prefix).shortText(replica);
        }

        void writeLong(RecordWriter out) {
            out.text(prefix).text(replica);
        }
    }

    /** The replica by prefix, for each audience. */
    private final Map<Audience, Map<String, String>> backlogs = new EnumMap<>(Audience.class);

    /** The replica by prefix, the newest last. */
    private final Object2ObjectLinkedOpenHashMap<String, String> kept =
            new Object2ObjectLinkedOpenHashMap<>();

    PrefixLocations() {
        for (var audience : Audience.values()) {
            backlogs.put(audience, new LinkedHashMap<>());
        }
    }

    /** An edge of this home has reported a location. */
    void addFromEdge(Location location) {
        keep(location);
        backlogs.values().forEach(backlog -> add(backlog, location));
    }

    /** Another home has sent a location on. */
    void addFromHome(Location location) {
        keep(location);
        add(backlogs.get(Audience.EDGES), location);
    }

    /**
     * The snapshot of another home has named a location: it counts only while no newer report is
     * known.
     */
    void addFromSnapshot(Location location) {
        if (!kept.containsKey(location.prefix)) {
            keep(location);
        }
    }

    private void keep(Location location) {
        kept.putAndMoveToLast(location.prefix, location.replica);
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    private static void add(Map<String, String> backlog, Location location) {
        if (backlog.size() < MAX_BACKLOG || backlog.containsKey(location.prefix)) {
            backlog.put(location.prefix, location.replica);
        }
    }

    /** Whether there is something to be sent to the edges. */
    boolean isPendingForEdges() {
        return !backlogs.get(Audience.EDGES).isEmpty();
    }

    /** Takes the backlog for an audience: it counts as sent. */
    List<Location> drain(Audience audience) {
        var backlog = backlogs.get(audience);
        var locations = locations(backlog);
        backlog.clear();
        return locations;
    }

    /** The newest locations that are known, for a subscriber that begins. */
    List<Location> kept() {
        return locations(kept);
    }

    private static List<Location> locations(Map<String, String> replicaByPrefix) {
        return replicaByPrefix.entrySet().stream()
                .map(entry -> new Location(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Writes locations in their short form. */
    static RecordWriter write(Collection<Location> locations, RecordWriter out) {
        return out.shortList(locations, (writer, location) -> location.write(writer));
    }

    /** Writes locations as daemons of the first version read them. */
    static RecordWriter writeLong(Collection<Location> locations, RecordWriter out) {
        return out.list(locations, (writer, location) -> location.writeLong(writer));
    }
}
