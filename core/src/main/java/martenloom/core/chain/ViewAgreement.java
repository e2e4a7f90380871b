package martenloom.core.chain;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import martenloom.core.chain.ChainMember.Ballot;
import martenloom.core.chain.ChainMember.MemberState;
import martenloom.core.chain.ChainMember.Mode;
import martenloom.core.state.ClusterState;

/**
 * Agreeing on a view: a bidder asks the roster for promises to its ballot, and with a majority of
 * the newest roster found it forms a chain of those who promised and of those who are to learn the
 * state, which it passes down that chain.
 */
final class ViewAgreement {
    /** A member that heard its head within this time promises nothing to another. */
    private static final long CONTENT_US = 600_000;

    /** A member waits so much longer before it bids for each place that others come before it. */
    private static final long RANK_US = 250_000;

    /** So long a bidder with a majority waits for the others. */
    private static final long GATHER_US = 200_000;

    private static final long ASK_AGAIN_US = 150_000;
    private static final long BID_US = 1_200_000;
    private static final long AFTER_REFUSAL_US = 150_000;
    private static final long AFTER_VAIN_BID_US = 200_000;
    private static final long LEAVER_BIDS_LATER_US = 1_200_000;

    /** So long a bidder rests that found itself outside the newest roster. */
    private static final long OUTSIDER_RESTS_US = 3_000_000;

    /** A promise: what was accepted last, and the state where it came with it. */
    private record Vote(Ballot accepted, long edition, Optional<ClusterState> state) {}

    private static final class Bid {
        private final Ballot ballot;
        private final long startUs;

        /**
         * The view whose head told this bidder to take over, so that its members need not be silent
         * first.
         */
        private final Ballot released;

        /** Who is to join beside the roster, as the bidder knew at its start. */
        private final Set<String> candidates;

        private final Map<String, Vote> votes = new TreeMap<>();
        private final Map<String, Long> learners = new TreeMap<>();
        private final Set<String> asked = new TreeSet<>();

        /** Who promised, but is about to end. */
        private final Set<String> leaving = new TreeSet<>();

        private long askedUs;
        private long majorityUs;

        private Bid(Ballot ballot, long startUs, Ballot released, Set<String> candidates) {
            this.ballot = ballot;
            this.startUs = startUs;
            this.released = released;
            this.candidates = candidates;
        }

        private boolean answered(String m) {
            return votes.containsKey(m) || learners.containsKey(m);
        }
    }

    private final MemberContext member;
    private final Membership membership;
    private final ChainMember owner;
    private Bid bid = new Bid(Ballot.ZERO, 0, Ballot.ZERO, Set.of());
    private Ballot handedOver = Ballot.ZERO;
    private long bids;

    ViewAgreement(MemberContext member, Membership membership, ChainMember owner) {
        this.member = member;
        this.membership = membership;
        this.owner = owner;
    }

    // ---- bidding

    /** A member that follows, or waits, bids when it has heard of no head for long enough. */
    void tickWaiting() {
        var now = member.nowUs;
        var silenceUs =
                MemberContext.SILENT_US
                        + rank() * RANK_US
                        + (member.leaving ? LEAVER_BIDS_LATER_US : 0);
        var quietUntilUs = member.quietUntilUs + (bids == 0 ? rank() * RANK_US : 0);
        if (member.disk.isFree()
                && now >= quietUntilUs
                && now - member.heardUs > silenceUs
                && member.state().roster().members().contains(member.me)) {
            bids++;
            start();
        }
    }

    private int rank() {
        var members =
                member.chainSeen.isEmpty() ? member.state().roster().members() : member.chainSeen;
        var place = members.indexOf(member.me);
        return place < 0 ? members.size() : place;
    }

    void tickBidding() {
        if (member.nowUs - bid.startUs > BID_US) {
            member.quietUntilUs = member.nowUs + AFTER_VAIN_BID_US + rank() * RANK_US;
            member.heardUs = member.nowUs - MemberContext.SILENT_US;
            owner.become(Mode.IDLE);
            return;
        }
        tryForm();
    }

    /** Begins a bid; the disk must be free. */
    void start() {
        member.topNumber = Math.max(member.topNumber, member.promised().n()) + 1;
        var ballot = new Ballot(member.topNumber, member.me);
        var candidates = member.heading() ? membership.candidates() : new TreeSet<String>();
        var released = handedOver.equals(member.promised()) ? handedOver : Ballot.ZERO;
        member.released = false;
        owner.become(Mode.BIDDING);
        bid = new Bid(ballot, member.nowUs, released, candidates);
        member.store(
                new MemberState(ballot, member.accepted(), member.state()),
                () -> {
                    if (isMine(ballot)) {
                        bid.votes.put(
                                member.me,
                                new Vote(
                                        member.accepted(),
                                        member.state().edition(),
                                        Optional.of(member.state())));
                        bid.asked.add(member.me);
                        ask(member.state().roster().members());
                        tryForm();
                    }
                });
    }

    private boolean isMine(Ballot ballot) {
        return member.mode == Mode.BIDDING && ballot.equals(bid.ballot);
    }

    private void ask(List<String> roster) {
        var all = new LinkedHashSet<>(roster);
        all.addAll(bid.candidates);
        var again = member.nowUs - bid.askedUs > ASK_AGAIN_US;
        bid.askedUs = again || bid.askedUs == 0 ? member.nowUs : bid.askedUs;
        for (var m : all) {
            if (bid.asked.add(m) || again && !m.equals(member.me) && !bid.answered(m)) {
                member.send(
                        m,
                        new ChainMessage.Prepare(
                                bid.ballot,
                                member.accepted(),
                                member.state().edition(),
                                bid.released));
            }
        }
    }

    // ---- promising

    void onPrepare(String from, ChainMessage.Prepare prepare) {
        var ballot = prepare.ballot();
        member.heardOf(ballot.n());
        if (member.mode == Mode.LEARNING) {
            if (!member.leaving) {
                member.send(from, new ChainMessage.Learner(ballot, member.nonce));
            }
            return;
        }
        if (ballot.compareTo(member.promised()) < 0 || isContent(from, prepare.released())) {
            member.send(from, new ChainMessage.Refused(ballot, member.promised().n()));
            return;
        }
        if (ballot.equals(member.promised()) && member.mode == Mode.FOLLOWING) {
            return;
        }
        member.heardUs = member.nowUs;
        if (ballot.equals(member.promised())) {
            promise(from, prepare);
            return;
        }
        owner.become(Mode.IDLE);
        member.store(
                new MemberState(ballot, member.accepted(), member.state()),
                () -> promise(from, prepare));
    }

    private void promise(String to, ChainMessage.Prepare prepare) {
        member.released = false;
        var state = member.state();
        var order = member.accepted().compareTo(prepare.accepted());
        var newer = order > 0 || order == 0 && state.edition() > prepare.edition();
        var whole = newer ? state.bytes() : new byte[0];
        member.send(
                to,
                new ChainMessage.Promised(
                        prepare.ballot(),
                        member.leaving,
                        member.accepted(),
                        state.edition(),
                        whole));
    }

    /**
     * A member that hears its head well gives no promise to another: one that cannot hear must not
     * upset the rest. A head that hands over frees the members of its view from this.
     */
    private boolean isContent(String from, Ballot released) {
        if (released.n() > 0 && released.equals(member.promised())) {
            return false;
        }
        return switch (member.mode) {
            case FOLLOWING ->
                    !from.equals(member.headSeen) && member.nowUs - member.heardUs < CONTENT_US;
            case HEADING -> member.nowUs - owner.heartbeatAcknowledgedUs() < CONTENT_US;
            default -> false;
        };
    }

    // ---- answers to a bid

    void onRefused(String from, ChainMessage.Refused refused) {
        member.heardOf(refused.promised());
        if (!isMine(refused.ballot())) {
            return;
        }
        if (isOnlyCandidate(from)) {
            bid.candidates.remove(from);
            tryForm();
            return;
        }
        member.quietUntilUs = member.nowUs + AFTER_REFUSAL_US + rank() * RANK_US;
        owner.become(Mode.IDLE);
    }

    void onLearner(String from, ChainMessage.Learner learner) {
        if (isMine(learner.ballot())) {
            bid.learners.put(from, learner.nonce());
            bid.votes.remove(from);
            tryForm();
        }
    }

    void onPromised(String from, ChainMessage.Promised promised) {
        if (!isMine(promised.ballot())) {
            return;
        }
        if (!bid.learners.containsKey(from)) {
            if (promised.leaving()) {
                bid.leaving.add(from);
            }
            var state =
                    promised.state().length == 0
                            ? Optional.<ClusterState>empty()
                            : Optional.of(ClusterState.of(promised.state()));
            bid.votes.put(from, new Vote(promised.accepted(), promised.edition(), state));
        }
        tryForm();
    }

    /** Someone in the chain of this head has promised a higher ballot. */
    void onNack(ChainMessage.Nack nack) {
        member.heardOf(nack.promised());
        if (nack.ballot().equals(member.view)
                && (member.heading() || member.mode == Mode.STARTING)) {
            member.quietUntilUs = member.nowUs + AFTER_REFUSAL_US;
            owner.become(Mode.IDLE);
        }
    }

    /** Whether a member takes part in the bid without being in the newest roster that was found. */
    private boolean isOnlyCandidate(String m) {
        return bid.votes.containsKey(member.me)
                && !newest().state.get().roster().members().contains(m);
    }

    /**
     * The newest state that is known with this bid; it is never older than what was acknowledged.
     */
    private Vote newest() {
        var newest = bid.votes.get(member.me);
        for (var vote : bid.votes.values()) {
            var order = vote.accepted.compareTo(newest.accepted);
            if (vote.state.isPresent()
                    && (order > 0 || order == 0 && vote.edition > newest.edition)) {
                newest = vote;
            }
        }
        return newest;
    }

    // ---- forming the chain

    private void tryForm() {
        if (!bid.votes.containsKey(member.me) || !member.disk.isFree()) {
            return;
        }
        var newest = newest();
        var roster = newest.state.get().roster().members();
        ask(roster);
        if (!roster.contains(member.me)) {
            rest();
            return;
        }
        var promises = roster.stream().filter(bid.votes::containsKey).count();
        if (promises * 2 <= roster.size()) {
            return;
        }
        if (bid.majorityUs == 0) {
            bid.majorityUs = member.nowUs;
        }
        var all = Stream.concat(roster.stream(), bid.candidates.stream()).allMatch(bid::answered);
        if (all || member.nowUs - bid.majorityUs > GATHER_US) {
            form(newest);
        }
    }

    /**
     * A member that was struck while it was cut off cannot form a view, and each of its bids takes
     * back the promises that another bidder needs. It rests until a head tells it more, or until
     * what it found may have been a roster that never came into force.
     */
    private void rest() {
        member.quietUntilUs = member.nowUs + OUTSIDER_RESTS_US;
        owner.become(Mode.IDLE);
    }

    private void form(Vote newest) {
        var state = newest.state.get();
        member.view = bid.ballot;
        member.chain = order(state.roster().members());
        var learners = new TreeMap<>(bid.learners);
        learners.keySet().retainAll(member.chain);
        member.learners = learners;
        member.chainSeen = member.chain;
        owner.become(Mode.STARTING);
        member.viewSinceUs = member.nowUs;
        member.formedUs = member.nowUs;
        membership.onFormed(bid.leaving);
        owner.open(state, newest.accepted, holders(newest));
    }

    /** Who promised with just the state that opens the view. */
    private List<String> holders(Vote newest) {
        return bid.votes.entrySet().stream()
                .filter(
                        e ->
                                e.getValue().accepted.equals(newest.accepted)
                                        && e.getValue().edition == newest.edition)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * The chain: this member, the members of the roster that promised, without those that leave if
     * the others are a majority, and then all who are to learn the state. Learners come last: by
     * then a majority has accepted the state in this view, so that a learner, which may have
     * forgotten a higher promise, cannot help an older view along.
     */
    private List<String> order(List<String> roster) {
        var promised =
                roster.stream()
                        .filter(m -> !m.equals(member.me) && bid.votes.containsKey(m))
                        .sorted(member.near)
                        .toList();
        var staying = promised.stream().filter(m -> !bid.leaving.contains(m)).toList();
        var first = (staying.size() + 1) * 2 > roster.size() ? staying : promised;
        var last =
                Stream.concat(bid.learners.keySet().stream(), bid.candidates.stream())
                        .distinct()
                        .filter(
                                m ->
                                        !m.equals(member.me)
                                                && !first.contains(m)
                                                && !bid.leaving.contains(m))
                        .filter(bid::answered)
                        .sorted(member.near);
        return Stream.of(Stream.of(member.me), first.stream(), last).flatMap(x -> x).toList();
    }

    /**
     * The head of this member's view is about to leave and names this member as the one to go on.
     */
    void onHandover(ChainMessage.Handover handover) {
        if (member.mode == Mode.FOLLOWING
                && member.holds(handover.view())
                && member.disk.isFree()) {
            handedOver = handover.view();
            start();
        }
    }
}
