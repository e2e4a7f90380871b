package martenloom.routing.route;

/**
 * One service of a route.
 *
 * @param weight its weight among the services of the route, 0 or more
 */
public record WeightedService(String service, int weight) {}
