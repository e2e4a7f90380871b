package martenloom.routing.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import martenloom.routing.placement.PlacementFinding.Severity;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;
import martenloom.routing.route.ServiceSpec;

/**
 * Where the replicas of each service run, by region, and what the loss of any one region would
 * leave with nowhere to run. A finding names the model and the region, and the route where only the
 * allowed regions of the route make it so. A route that is allowed in one region alone cannot
 * outlive that region; this is reported as bound and never counts against a change.
 *
 * <p>A pure function of what runs and of the routes: no input or output, no clock. Not thread-safe
 * while it is being filled.
 */
public final class Placement {
    private static final int ENCODED_FIELDS = 3;

    /** Replicas by service and region. */
    private final Map<String, Map<String, Set<String>>> replicas = new TreeMap<>();

    /** Adds a replica that runs. */
    public void addReplica(String service, String region, String replica) {
        replicas.computeIfAbsent(service, key -> new TreeMap<>())
                .computeIfAbsent(region, key -> new TreeSet<>())
                .add(replica);
    }

    private Set<String> regions(String service) {
        var regions = new TreeSet<String>();
        replicas.getOrDefault(service, Map.of())
                .forEach(
                        (region, running) -> {
                            if (!running.isEmpty()) {
                                regions.add(region);
                            }
                        });
        return regions;
    }

    /** Calls with each pair of service and region, in order, and the replicas there. */
    private void forEachRegion(RegionVisitor visitor) {
        replicas.forEach(
                (service, byRegion) ->
                        byRegion.forEach(
                                (region, running) -> visitor.visit(service, region, running)));
    }

    @FunctionalInterface
    private interface RegionVisitor {
        void visit(String service, String region, Set<String> running);
    }

    /**
     * The same placement without some replicas of these services in a region.
     *
     * @param all whether all their replicas there are left out, whatever is in {@code removed}
     */
    public Placement without(
            Collection<ServiceSpec> services, String region, boolean all, Set<String> removed) {
        var names = new HashSet<String>();
        services.forEach(service -> names.add(service.name()));
        var rest = new Placement();
        forEachRegion(
                (service, at, running) -> {
                    var affected = names.contains(service) && at.equals(region);
                    for (var replica : running) {
                        if (!(affected && (all || removed.contains(replica)))) {
                            rest.addReplica(service, at, replica);
                        }
                    }
                });
        return rest;
    }

    /** A line for each service and region: service, region, replicas; {@link #decode} reads it. */
    public String encode() {
        var text = new StringBuilder();
        forEachRegion(
                (service, region, running) ->
                        text.append(service)
                                .append('\t')
                                .append(region)
                                .append('\t')
                                .append(String.join(",", running))
                                .append('\n'));
        return text.toString();
    }

    /** Reads what {@link #encode} wrote. */
    public static Placement decode(String text) {
        var placement = new Placement();
        for (var line : text.split("\n")) {
            var fields = line.split("\t");
            if (fields.length == ENCODED_FIELDS) {
                for (var replica : fields[2].split(",")) {
                    placement.addReplica(fields[0], fields[1], replica);
                }
            }
        }
        return placement;
    }

    /** All that the loss of one region would leave without replicas, and what has none now. */
    public SortedSet<PlacementFinding> findings(RouteTable table) {
        var findings = new TreeSet<PlacementFinding>();
        for (var service : table.services().values()) {
            if (service.inferenceEngine()) {
                addFindings(findings, service, table.routes());
            }
        }
        return findings;
    }

    private void addFindings(
            Set<PlacementFinding> findings, ServiceSpec service, List<Route> routes) {
        addFinding(findings, service.model(), "", false, regions(service.name()));
        for (var route : routes) {
            if (!route.allowedRegions().isEmpty() && uses(route, service.name())) {
                var allowed = regions(service.name());
                allowed.retainAll(route.allowedRegions());
                var bound = route.allowedRegions().size() == 1;
                addFinding(findings, service.model(), route.name(), bound, allowed);
            }
        }
    }

    private static boolean uses(Route route, String service) {
        return route.trafficSplit().stream()
                .anyMatch(share -> share.service().equals(service) && share.weight() > 0);
    }

    private static void addFinding(
            Set<PlacementFinding> findings,
            String model,
            String route,
            boolean bound,
            Set<String> regions) {
        if (regions.isEmpty()) {
            findings.add(new PlacementFinding(model, "", route, false));
        } else if (regions.size() == 1) {
            findings.add(new PlacementFinding(model, regions.iterator().next(), route, bound));
        }
    }

    /**
     * What a change would make worse, for a model as a whole or on a route: from safe to lost with
     * one region, or from either to nowhere. What was as severe before does not count against the
     * change, and neither does what is bound.
     */
    public static List<PlacementFinding> regressions(
            Placement before, Placement after, RouteTable table) {
        var severities = new HashMap<String, Severity>();
        before.findings(table)
                .forEach(
                        finding ->
                                severities.merge(
                                        finding.subject(),
                                        finding.severity(),
                                        (one, other) -> one.compareTo(other) > 0 ? one : other));
        return after.findings(table).stream()
                .filter(
                        finding ->
                                finding.severity()
                                                .compareTo(
                                                        severities.getOrDefault(
                                                                finding.subject(), Severity.BOUND))
                                        > 0)
                .toList();
    }
}
