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
import martenloom.routing.route.RouteTable;

/**
 * Where each service's replicas run, by region, and what the loss of any one region would strand. A
 * pure function of what runs and of the routes: no input or output, no clock. A finding names the
 * model and the region whose loss leaves it nowhere to run, and the route where only the route's
 * homes make it so. A route that is bound to one region cannot outlive that region; that is told as
 * bound and never held against a change.
 */
public final class Placement {
    /**
     * A region's loss that strands a model; the route is empty when the model as a whole is
     * stranded.
     */
    public record Finding(String model, String region, String route, boolean bound)
            implements Comparable<Finding> {
        public String text() {
            var r = route.isEmpty() ? "" : " on route '" + route + "'";
            if (region.isEmpty()) {
                return "model '" + model + "'" + r + " runs nowhere";
            }
            return "model '"
                    + model
                    + "'"
                    + r
                    + (bound
                            ? " is bound to region '" + region + "' and cannot outlive it"
                            : " would run nowhere if region '" + region + "' were lost");
        }

        /** How bad it is: bound and nothing to be done, lost with one region, or nowhere now. */
        private int grade() {
            return region.isEmpty() ? 2 : bound ? 0 : 1;
        }

        @Override
        public int compareTo(Finding o) {
            return (model + "\t" + region + "\t" + route)
                    .compareTo(o.model + "\t" + o.region + "\t" + o.route);
        }
    }

    private final Map<String, Map<String, Set<String>>> running = new TreeMap<>();

    public void put(String service, String region, String replica) {
        running.computeIfAbsent(service, k -> new TreeMap<>())
                .computeIfAbsent(region, k -> new TreeSet<>())
                .add(replica);
    }

    public Set<String> at(String service, String region) {
        return running.getOrDefault(service, Map.of()).getOrDefault(region, Set.of());
    }

    private Set<String> regions(String service) {
        var s = new TreeSet<String>();
        running.getOrDefault(service, Map.of())
                .forEach(
                        (g, l) -> {
                            if (!l.isEmpty()) {
                                s.add(g);
                            }
                        });
        return s;
    }

    /** The same without some replicas of a region, or without all of them. */
    public Placement without(
            Collection<RouteTable.Service> services,
            String region,
            boolean all,
            Set<String> replicas) {
        var p = new Placement();
        var names = new HashSet<String>();
        services.forEach(s -> names.add(s.name));
        running.forEach(
                (s, m) ->
                        m.forEach(
                                (g, l) ->
                                        l.forEach(
                                                r -> {
                                                    if (!(names.contains(s)
                                                            && g.equals(region)
                                                            && (all || replicas.contains(r)))) {
                                                        p.put(s, g, r);
                                                    }
                                                })));
        return p;
    }

    public String text() {
        var b = new StringBuilder();
        running.forEach(
                (s, m) ->
                        m.forEach(
                                (g, l) ->
                                        b.append(s)
                                                .append('\t')
                                                .append(g)
                                                .append('\t')
                                                .append(String.join(",", l))
                                                .append('\n')));
        return b.toString();
    }

    public static Placement of(String text) {
        var p = new Placement();
        for (var l : text.split("\n")) {
            var w = l.split("\t");
            if (w.length == 3) {
                for (var r : w[2].split(",")) {
                    p.put(w[0], w[1], r);
                }
            }
        }
        return p;
    }

    /** Everything that the loss of one region would strand, and what runs nowhere now. */
    public SortedSet<Finding> findings(RouteTable t) {
        var f = new TreeSet<Finding>();
        for (var s : t.services.values()) {
            if (s.engine) {
                look(f, s.model, "", false, regions(s.name));
                t.routes.stream()
                        .filter(
                                r ->
                                        !r.regions.isEmpty()
                                                && r.shares.stream()
                                                        .anyMatch(
                                                                x ->
                                                                        x.service.equals(s.name)
                                                                                && x.weight > 0))
                        .forEach(
                                r -> {
                                    var here = regions(s.name);
                                    here.retainAll(r.regions);
                                    look(f, s.model, r.name, r.regions.size() == 1, here);
                                });
            }
        }
        return f;
    }

    private static void look(
            Set<Finding> f, String model, String route, boolean bound, Set<String> regions) {
        if (regions.isEmpty()) {
            f.add(new Finding(model, "", route, false));
        } else if (regions.size() == 1) {
            f.add(new Finding(model, regions.iterator().next(), route, bound));
        }
    }

    /**
     * What a change would make worse, for a model as a whole or on a route: from safe to lost with
     * one region, or from either to nowhere. What was as bad before is not held against it, and
     * neither is what is bound.
     */
    public static List<Finding> added(Placement before, Placement after, RouteTable t) {
        var old = new HashMap<String, Integer>();
        before.findings(t).forEach(x -> old.merge(x.model + "\t" + x.route, x.grade(), Math::max));
        return after.findings(t).stream()
                .filter(x -> x.grade() > old.getOrDefault(x.model + "\t" + x.route, 0))
                .toList();
    }
}
