package martenloom.core.edge;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;

/**
 * The zones that were taken back lately, by what this daemon has committed: their replicas may have
 * become cold meanwhile, which an edge that starts now has not seen. Runs on the reactor thread.
 */
final class ReturnedZones {
    /** Longer than any warm-up takes. */
    private static final long REMEMBERED_US = 60_000_000;

    private static final long US_PER_MS = 1_000;

    private final Map<String, Long> returnedUs = new TreeMap<>();
    private Set<String> evacuated = Set.of();

    /** A newer set of evacuated zones is committed. */
    void onCommitted(Set<String> zones, long nowUs) {
        var returned = new HashSet<>(evacuated);
        returned.removeAll(zones);
        returned.forEach(zone -> returnedUs.put(zone, nowUs));
        returnedUs.keySet().removeAll(zones);
        evacuated = Set.copyOf(zones);
    }

    /** Tells an edge the zones with how long ago they were taken back, if there are any. */
    void send(PeerLink link, long nowUs) {
        returnedUs.values().removeIf(atUs -> nowUs - atUs > REMEMBERED_US);
        if (!returnedUs.isEmpty() && link.readsShortForms()) {
            link.send(
                    new RecordWriter(RecordType.RETURNED_ZONES)
                            .list(
                                    returnedUs.entrySet(),
                                    (row, zone) ->
                                            row.text(zone.getKey())
                                                    .i64((nowUs - zone.getValue()) / US_PER_MS))
                            .bytes());
        }
    }
}
