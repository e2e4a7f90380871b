package martenloom.routing.route;

/** How often a request of a route may run, and how it is answered. */
public enum RouteKind {
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING
}
