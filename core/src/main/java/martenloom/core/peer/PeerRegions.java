package martenloom.core.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.common.settings.Settings;
import martenloom.core.chain.ChainMember;

/** The region of each core daemon, as it has introduced itself. Runs on the reactor thread. */
public final class PeerRegions {
    private static final String UNKNOWN = "unknown";

    private final Settings settings;
    private final ChainMember chain;
    private final Map<String, String> byIp = new TreeMap<>();

    /** No region but our own is known yet. */
    public PeerRegions(Settings settings, ChainMember chain) {
        this.settings = settings;
        this.chain = chain;
    }

    void put(String ip, String region) {
        byIp.put(ip, region);
    }

    void remove(String ip) {
        byIp.remove(ip);
    }

    /** Whether a core daemon has introduced itself as one of our region. */
    public boolean isInOwnRegion(String ip) {
        return settings.region().equals(byIp.getOrDefault(ip, ""));
    }

    /** The core daemons that are known to stand in a region, in the order of their addresses. */
    public List<String> coresIn(String region) {
        var cores = new TreeSet<String>();
        byIp.forEach(
                (ip, ofPeer) -> {
                    if (ofPeer.equals(region)) {
                        cores.add(ip);
                    }
                });
        if (settings.region().equals(region)) {
            cores.add(settings.ipAddress());
        }
        return List.copyOf(cores);
    }

    /** How many core daemons of our region are known, this one included. */
    public int homesInOwnRegion() {
        var homes = 1;
        for (var ip : byIp.keySet()) {
            homes += isInOwnRegion(ip) && !ip.equals(settings.ipAddress()) ? 1 : 0;
        }
        return homes;
    }

    /**
     * A region in which a member of the roster lies although it is not allowed; "unknown" when the
     * region of a member is not known, empty when all lie in allowed regions.
     */
    public String rosterRegionOutside(Set<String> allowedRegions) {
        for (var member : chain.committed().roster().members()) {
            var region =
                    member.equals(settings.ipAddress())
                            ? settings.region()
                            : byIp.getOrDefault(member, "");
            if (!allowedRegions.contains(region)) {
                return region.isEmpty() ? UNKNOWN : region;
            }
        }
        return "";
    }
}
