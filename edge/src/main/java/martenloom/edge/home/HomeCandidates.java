package martenloom.edge.home;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenloom.common.settings.Settings;

/**
 * The core daemons that this edge knows, and its preference among them as its home: those not
 * lately found unfit, then those of its own zone, then those of its own region, then by a hash, so
 * that the edges of a zone spread over its daemons. Runs on the reactor thread.
 */
final class HomeCandidates {
    /** How long a daemon that was unfit as a home is passed over. */
    private static final long AVOID_US = 3_000_000;

    private static final int OWN_ZONE = 0;
    private static final int OWN_REGION = 1;
    private static final int FAR = 2;

    private final Settings settings;
    private final Set<String> cores = new LinkedHashSet<>();
    private Set<String> coresOfOwnRegion = Set.of();
    private final Map<String, Long> avoidedUntilUs = new HashMap<>();

    HomeCandidates(Settings settings) {
        this.settings = settings;
        addSeeds();
    }

    private void addSeeds() {
        settings.seedNodes().forEach(seed -> cores.add(seed.substring(0, seed.lastIndexOf(':'))));
    }

    /**
     * Takes the core daemons that the home knows.
     *
     * @param fresh whether its knowledge is fresh and replaces what was known
     */
    void onCores(Collection<String> known, boolean fresh) {
        if (fresh) {
            cores.clear();
        }
        cores.addAll(known);
    }

    /** Takes the core daemons of the own region, as the home knows them. */
    void onRegionCores(Collection<String> known) {
        coresOfOwnRegion = Set.copyOf(known);
    }

    /** The core daemons in the order in which this edge would take them as its home. */
    List<String> byPreference(long now) {
        addSeeds();
        var homes = new ArrayList<>(cores);
        homes.sort(
                Comparator.<String>comparingInt(core -> isAvoided(core, now) ? 1 : 0)
                        .thenComparingInt(this::distance)
                        .thenComparingInt(core -> (core + settings.ipAddress()).hashCode()));
        return homes;
    }

    /** Whether a daemon was lately found unfit. */
    boolean isAvoided(String ip, long now) {
        return avoidedUntilUs.getOrDefault(ip, 0L) > now;
    }

    /** A daemon was found unfit. */
    void avoid(String ip, long now) {
        avoidedUntilUs.put(ip, now + AVOID_US);
    }

    /** Whether one daemon is nearer to this edge than another. */
    boolean isNearer(String ip, String other) {
        return distance(ip) < distance(other);
    }

    private int distance(String ip) {
        if (isInOwnZone(ip)) {
            return OWN_ZONE;
        }
        return coresOfOwnRegion.contains(ip) ? OWN_REGION : FAR;
    }

    /** Whether a daemon is in this edge's zone: its addresses share their first three numbers. */
    private boolean isInOwnZone(String ip) {
        return ip.startsWith(
                settings.ipAddress().substring(0, settings.ipAddress().lastIndexOf('.') + 1));
    }
}
