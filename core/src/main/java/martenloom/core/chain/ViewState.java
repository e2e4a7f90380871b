package martenloom.core.chain;

import java.util.List;
import java.util.Map;

/**
 * The view that a member takes part in, or took part in last, with the newest head and chain that
 * it knows of. A head's chain is that of its own view: nothing it hears changes it, for a head
 * ignores the announcements of others.
 */
final class ViewState {
    private Ballot ballot = Ballot.ZERO;
    private List<String> chain = List.of();
    private String head = "";

    /** Who learns the state in a view formed by this member, with the incarnation of each. */
    private Map<String, Long> learners = Map.of();

    private long formedUs;
    private long sinceUs;

    /** This member has formed a view that is still to accept its state. */
    void form(Ballot formed, List<String> members, Map<String, Long> taught, long nowUs) {
        ballot = formed;
        chain = members;
        learners = taught;
        formedUs = nowUs;
        sinceUs = nowUs;
    }

    /** The view formed by this member is active, and this member its head. */
    void activate(String self, long nowUs) {
        head = self;
        sinceUs = nowUs;
    }

    /** Takes part in a view that another member heads. */
    void follow(Ballot followed, List<String> members) {
        ballot = followed;
        observe(members);
    }

    /** Knows of the chain of an active view, without taking part in it. */
    void observe(List<String> members) {
        chain = members;
        head = members.get(0);
    }

    /** The view taken part in. */
    Ballot ballot() {
        return ballot;
    }

    /** The members of the newest chain known, the head first. */
    List<String> chain() {
        return chain;
    }

    /** The newest head known; empty before any is known. */
    String head() {
        return head;
    }

    /** The view formed by this member, as it travels with the state. */
    ChainView asChainView() {
        return new ChainView(ballot, chain, learners);
    }

    /** When this member formed its view: a majority held together then. */
    long formedUs() {
        return formedUs;
    }

    /** When the view formed by this member became active; when it was formed, until then. */
    long sinceUs() {
        return sinceUs;
    }
}
