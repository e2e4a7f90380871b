package martenloom.core.chain;

import java.util.List;
import java.util.Map;

/**
 * The chain of an agreed view, as it travels with the state. Immutable.
 *
 * @param ballot the name of the view
 * @param chain the addresses of its members: first the head, last the tail
 * @param learners the members that learn the state in this view, with the incarnation of each
 */
record ChainView(Ballot ballot, List<String> chain, Map<String, Long> learners) {
    String head() {
        return chain.get(0);
    }

    /** The position of a member, 0 for the head; negative when it is not in the chain. */
    int positionOf(String address) {
        return chain.indexOf(address);
    }

    boolean isTail(int position) {
        return position == chain.size() - 1;
    }
}
