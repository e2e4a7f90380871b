package martenloom.edge.dispatch;

import java.util.Locale;
import java.util.Optional;
import martenloom.edge.http.HeaderField;
import martenloom.edge.http.MessageHead;
import martenloom.routing.route.Route;
import martenloom.routing.route.RouteTable;

/** Finds the route of a request by its host and its path. */
final class RouteLookup {
    private RouteLookup() {}

    /** The route of a client's request: by its host without the port, else by its host as it is. */
    static Optional<Route> find(RouteTable table, MessageHead head) {
        var host = host(head);
        var path = head.path();
        var port = host.indexOf(':');
        var route = table.find(port < 0 ? host : host.substring(0, port), path);
        return route.isEmpty() && port >= 0 ? table.find(host, path) : route;
    }

    /** The route of a deferred job, of which the host is taken as it is. */
    static Optional<Route> findForJob(RouteTable table, MessageHead head) {
        return table.find(host(head), head.path());
    }

    private static String host(MessageHead head) {
        return head.get(HeaderField.HOST).toLowerCase(Locale.ROOT);
    }
}
