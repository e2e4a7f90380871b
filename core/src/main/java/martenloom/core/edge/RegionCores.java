package martenloom.core.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenloom.common.codec.RecordWriter;
import martenloom.common.fleet.RecordType;
import martenloom.common.link.PeerLink;
import martenloom.core.peer.PeerRegions;

/**
 * Tells edges which core daemons stand in their region, so that they choose a home there: only such
 * a home lends permits for replicas that warm up. Runs on the reactor thread.
 */
public final class RegionCores {
    private final PeerRegions regions;

    /** What was told last on each link. */
    private final Map<PeerLink, List<String>> told = new HashMap<>();

    /** Has told nobody yet. */
    public RegionCores(PeerRegions regions) {
        this.regions = regions;
    }

    /** Tells an edge of a region, unless it has been told the same on this link. */
    void tell(PeerLink link, String region) {
        var cores = regions.coresIn(region);
        if (!cores.equals(told.put(link, cores))) {
            link.send(new RecordWriter(RecordType.REGION_CORES).texts(cores).bytes());
        }
    }

    /** A link has closed. */
    public void forget(PeerLink link) {
        told.remove(link);
    }
}
