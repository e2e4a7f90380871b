package martenloom.core.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import martenloom.core.chain.ElectionMessage.LearnerOffer;
import martenloom.core.chain.ElectionMessage.Promise;
import martenloom.core.state.ClusterState;

/**
 * One candidacy for the head of a view: the ballot proposed and the answers so far.
 *
 * <p>Invariant: a member counts as a voter or as a learner, never as both; once it has offered
 * itself as a learner, its earlier promise is void, for its disk was lost.
 */
final class Candidacy {
    /** A request without an answer is sent again after this time. */
    private static final long RETRY_US = 150_000;

    /** A candidate with a majority waits so long for the others. */
    private static final long GATHER_US = 200_000;

    /** A promise: what was accepted last, and the state where it came with it. */
    record Vote(Ballot accepted, long edition, Optional<ClusterState> state) {
        private boolean isNewerThan(Vote other) {
            var order = accepted.compareTo(other.accepted);
            return order > 0 || order == 0 && edition > other.edition;
        }

        private boolean isOfSameState(Vote other) {
            return accepted.equals(other.accepted) && edition == other.edition;
        }
    }

    private final String self;
    private final Ballot ballot;
    private final long startUs;

    /** The view whose head handed over, so that its members need not be silent first; or zero. */
    private final Ballot handedOver;

    /** Who is to join beside the roster, as this candidate knew at its start. */
    private final Set<String> joining;

    private final Map<String, Vote> votes = new TreeMap<>();

    /** Who is to learn the state, with the incarnation of each. */
    private final Map<String, Long> learners = new TreeMap<>();

    private final Set<String> asked = new TreeSet<>();

    /** Who promised, but is about to terminate. */
    private final Set<String> leaving = new TreeSet<>();

    private long askedUs;
    private long majoritySinceUs;

    Candidacy(String self, Ballot ballot, long startUs, Ballot handedOver, Set<String> joining) {
        this.self = self;
        this.ballot = ballot;
        this.startUs = startUs;
        this.handedOver = handedOver;
        this.joining = joining;
    }

    /** What a member has that never stood for election. */
    static Candidacy none() {
        return new Candidacy("", Ballot.ZERO, 0, Ballot.ZERO, Set.of());
    }

    Ballot ballot() {
        return ballot;
    }

    Ballot handedOver() {
        return handedOver;
    }

    Set<String> leaving() {
        return leaving;
    }

    long ageUs(long nowUs) {
        return nowUs - startUs;
    }

    // ---- answers

    /** The candidate's own promise is durable, with what it accepted last. */
    void voteForSelf(Ballot accepted, ClusterState state) {
        votes.put(self, new Vote(accepted, state.edition(), Optional.of(state)));
        asked.add(self);
    }

    boolean hasOwnVote() {
        return votes.containsKey(self);
    }

    void onPromise(String from, Promise promise) {
        if (learners.containsKey(from)) {
            return;
        }
        if (promise.leaving()) {
            leaving.add(from);
        }
        var state =
                promise.state().isPresent()
                        ? Optional.of(promise.state().decode())
                        : Optional.<ClusterState>empty();
        votes.put(from, new Vote(promise.accepted(), promise.edition(), state));
    }

    void onLearnerOffer(String from, LearnerOffer offer) {
        learners.put(from, offer.incarnation());
        votes.remove(from);
    }

    /** Goes on without someone who was to join. */
    void dropJoining(String address) {
        joining.remove(address);
    }

    private boolean hasAnswered(String address) {
        return votes.containsKey(address) || learners.containsKey(address);
    }

    /** Who is to be asked now, for the first time or again. */
    List<String> nextToAsk(List<String> roster, long nowUs) {
        var all = new LinkedHashSet<>(roster);
        all.addAll(joining);
        var retry = nowUs - askedUs > RETRY_US;
        askedUs = retry || askedUs == 0 ? nowUs : askedUs;
        var next = new ArrayList<String>();
        for (var address : all) {
            var isFirst = asked.add(address);
            if (isFirst || retry && !address.equals(self) && !hasAnswered(address)) {
                next.add(address);
            }
        }
        return next;
    }

    // ---- what the answers amount to

    /**
     * The newest state that is known with this candidacy; with a majority it is never older than
     * what was acknowledged.
     */
    Vote newest() {
        var newest = votes.get(self);
        for (var vote : votes.values()) {
            if (vote.state.isPresent() && vote.isNewerThan(newest)) {
                newest = vote;
            }
        }
        return newest;
    }

    /** Whether a member takes part without being in the newest roster that was found. */
    boolean isOnlyJoining(String address) {
        return hasOwnVote() && !newest().state.get().roster().members().contains(address);
    }

    /** Whether the view can be formed: a majority promised, and the others had time to answer. */
    boolean isDecided(List<String> roster, long nowUs) {
        var promises = roster.stream().filter(votes::containsKey).count();
        if (promises * 2 <= roster.size()) {
            return false;
        }
        if (majoritySinceUs == 0) {
            majoritySinceUs = nowUs;
        }
        var allAnswered =
                Stream.concat(roster.stream(), joining.stream()).allMatch(this::hasAnswered);
        return allAnswered || nowUs - majoritySinceUs > GATHER_US;
    }

    /** Who promised with just the state that opens the view. */
    List<String> holdersOf(Vote newest) {
        return votes.entrySet().stream()
                .filter(entry -> entry.getValue().isOfSameState(newest))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * The chain: the candidate, the members of the roster that promised, without those that leave
     * if the others are a majority, and then all who are to learn the state. Learners come last: by
     * then a majority has accepted the state in this view, so that a learner, which may have
     * forgotten a higher promise, cannot help an older view along.
     */
    List<String> chain(List<String> roster, Comparator<String> proximity) {
        var promised =
                roster.stream()
                        .filter(address -> !address.equals(self) && votes.containsKey(address))
                        .sorted(proximity)
                        .toList();
        var staying = promised.stream().filter(address -> !leaving.contains(address)).toList();
        var first = (staying.size() + 1) * 2 > roster.size() ? staying : promised;
        var last =
                Stream.concat(learners.keySet().stream(), joining.stream())
                        .distinct()
                        .filter(address -> !address.equals(self) && !first.contains(address))
                        .filter(address -> !leaving.contains(address) && hasAnswered(address))
                        .sorted(proximity);
        return Stream.of(Stream.of(self), first.stream(), last).flatMap(part -> part).toList();
    }

    /** Those of a chain that learn the state in it, with the incarnation of each. */
    Map<String, Long> learnersOf(List<String> chain) {
        var taught = new TreeMap<>(learners);
        taught.keySet().retainAll(chain);
        return taught;
    }
}
