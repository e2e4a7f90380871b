package martenloom.edge.subscription;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.clock.Clocks;
import martenloom.common.codec.RecordReader;
import martenloom.common.log.RingLog;
import martenloom.edge.dispatch.RequestDispatcher;
import martenloom.edge.home.HomeConnection;
import martenloom.edge.replica.ReplicaPlacement;
import martenloom.edge.scaling.RegionScaler;
import martenloom.routing.language.RoutingLanguage;

/**
 * The configuration in force at this edge. An edition is the core's state of configuration,
 * evacuations and placements; a revision is one of the routing text. Neither ever goes back. Runs
 * on the reactor thread, but for {@link #revision}.
 */
public final class ConfigurationReceiver {
    private final HomeConnection home;
    private final RequestDispatcher dispatcher;
    private final RegionScaler scaler;
    private static final long US_PER_MS = 1_000;

    private long edition = -1;
    private volatile long revision;

    /** Creates a receiver that has no configuration. */
    public ConfigurationReceiver(
            HomeConnection home, RequestDispatcher dispatcher, RegionScaler scaler) {
        this.home = home;
        this.dispatcher = dispatcher;
        this.scaler = scaler;
    }

    /** The edition in force; not above 0 before the first. */
    public long edition() {
        return edition;
    }

    /** The revision in force; 0 before the first. Thread-safe. */
    public long revision() {
        return revision;
    }

    /** Whether there is a configuration. */
    boolean isConfigured() {
        return edition > 0 && revision != 0;
    }

    /** Takes a record of the home with its edition. */
    public void onConfiguration(RecordReader in) {
        var newEdition = in.i64();
        var newRevision = in.i64();
        var routingText = in.text();
        var evacuated = in.texts();
        var placements = readPlacements(in);
        if (newEdition <= edition || newRevision < revision) {
            return;
        }
        if (newRevision > revision) {
            if (routingText.isEmpty()) {
                home.requestState();
                return;
            }
            dispatcher.onTable(RoutingLanguage.compile(routingText));
            revision = newRevision;
        }
        edition = newEdition;
        RingLog.debug(
                "configuration edition "
                        + newEdition
                        + " revision "
                        + newRevision
                        + " from home "
                        + home.ip());
        dispatcher.onPlacements(placements);
        scaler.onPlacements(placements);
        dispatcher.onEvacuatedZones(Set.copyOf(evacuated), Clocks.nowUs());
    }

    /** Takes the zones that were taken back lately, with how long ago. */
    public void onReturnedZones(RecordReader in) {
        var zones = new TreeMap<String, Long>();
        in.list(row -> zones.put(row.text(), row.i64() * US_PER_MS));
        dispatcher.onReturnedZones(zones, Clocks.nowUs());
    }

    private static Map<String, ReplicaPlacement> readPlacements(RecordReader in) {
        var placements = new TreeMap<String, ReplicaPlacement>();
        in.list(
                item ->
                        placements.put(
                                item.text(),
                                new ReplicaPlacement(
                                        item.i32(), item.flag(), new TreeSet<>(item.texts()))));
        return placements;
    }
}
