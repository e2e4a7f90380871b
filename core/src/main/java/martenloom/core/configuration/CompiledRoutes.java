package martenloom.core.configuration;

import martenloom.core.chain.ChainMember;
import martenloom.routing.language.RoutingLanguage;
import martenloom.routing.route.RouteTable;

/**
 * The route table of the committed state. It is compiled when it is asked for and the revision of
 * the routing text has changed. Runs on the reactor thread.
 */
public final class CompiledRoutes {
    private final ChainMember chain;
    private RouteTable table = RouteTable.EMPTY;

    /** Compiles nothing yet. */
    public CompiledRoutes(ChainMember chain) {
        this.chain = chain;
    }

    /** The table of the configuration that is committed now. */
    public RouteTable table() {
        var configuration = chain.committed().configuration();
        if (table.revision() != configuration.revision()) {
            table = RoutingLanguage.compile(configuration.routingText());
        }
        return table;
    }
}
