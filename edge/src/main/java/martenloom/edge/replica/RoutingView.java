package martenloom.edge.replica;

import java.util.Set;
import martenloom.routing.route.RouteTable;

/**
 * What is in force at this edge by the core's configuration, for classes that only read it. Used on
 * the reactor thread.
 */
public interface RoutingView {
    /** The routes and services; empty, with revision 0, before the first configuration. */
    RouteTable table();

    /** The zones from which requests are kept away. */
    Set<String> evacuated();
}
