package martenloom.edge.replica;

import java.util.List;
import martenloom.routing.route.RouteTable;

/** The prompt of a request, as far as it decides which replica serves it best. */
public interface Prompt {
    /** The route on which the request came. */
    RouteTable.Route route();

    /** The tokens of the whole prompt. */
    int promptTokens();

    /** The ids of the parts of the prompt, in their order; empty when the client named none. */
    List<String> parts();

    /** The tokens of each part. */
    List<Integer> partTokens();
}
