package martenloom.core.configuration;

import martenloom.core.state.ClusterState;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.route.RouteTable;

/**
 * The route table of the state that was asked for last; compiled again only when the revision of
 * the routing text is another. Runs on the reactor thread.
 */
public final class CompiledRoutes {
    private RouteTable table = RouteTable.EMPTY;

    public RouteTable of(ClusterState state) {
        if (table.revision() != state.configuration().revision()) {
            table = RoutingLanguage.compile(state.configuration().routingText());
        }
        return table;
    }
}
