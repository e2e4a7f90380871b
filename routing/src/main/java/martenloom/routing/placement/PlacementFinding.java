package martenloom.routing.placement;

/**
 * A region whose loss would leave a model, or a route of it, with nowhere to run; or that it runs
 * nowhere now. Ordered by model, region and route.
 *
 * @param region the region that must not be lost; empty when the model runs nowhere now
 * @param route the route that is affected; empty when it is the model as a whole
 * @param bound whether the route is allowed in this region alone, so that nothing can be done
 */
public record PlacementFinding(String model, String region, String route, boolean bound)
        implements Comparable<PlacementFinding> {
    /** How severe a finding is, in ascending order. */
    enum Severity {
        BOUND,
        LOST_WITH_ONE_REGION,
        RUNS_NOWHERE
    }

    /** The finding in words, for the operator. */
    public String text() {
        var onRoute = route.isEmpty() ? "" : " on route '" + route + "'";
        if (region.isEmpty()) {
            return "model '" + model + "'" + onRoute + " runs nowhere";
        }
        return "model '"
                + model
                + "'"
                + onRoute
                + (bound
                        ? " is bound to region '" + region + "' and cannot outlive it"
                        : " would run nowhere if region '" + region + "' were lost");
    }

    Severity severity() {
        if (region.isEmpty()) {
            return Severity.RUNS_NOWHERE;
        }
        return bound ? Severity.BOUND : Severity.LOST_WITH_ONE_REGION;
    }

    /** Names the model and the route that are affected. */
    String subject() {
        return model + "\t" + route;
    }

    @Override
    public int compareTo(PlacementFinding other) {
        return (model + "\t" + region + "\t" + route)
                .compareTo(other.model + "\t" + other.region + "\t" + other.route);
    }
}
