package martenloom.core.chain;

import java.util.List;
import java.util.TreeSet;
import martenloom.core.chain.ElectionMessage.BallotRejected;
import martenloom.core.chain.ElectionMessage.HeadHandover;
import martenloom.core.chain.ElectionMessage.LearnerOffer;
import martenloom.core.chain.ElectionMessage.Prepare;
import martenloom.core.chain.ElectionMessage.Promise;
import martenloom.core.chain.ElectionMessage.PromiseRejected;

/**
 * The candidate's side of agreeing on a view. It asks the roster for promises to its ballot; with a
 * majority of the newest roster found it forms a chain of those who promised and of those who are
 * to learn the state, and sends the newest state found down that chain. A candidate that is
 * rejected, or finds no majority in time, goes back to IDLE and waits; members wait in the order of
 * their positions, so that they rarely compete.
 */
final class ViewElection {
    /** A member waits so much longer for each position before its own. */
    private static final long STAGGER_US = 250_000;

    private static final long CANDIDACY_TIMEOUT_US = 1_200_000;
    private static final long BACKOFF_AFTER_REJECTION_US = 150_000;
    private static final long BACKOFF_AFTER_TIMEOUT_US = 200_000;
    private static final long EXTRA_DELAY_WHEN_LEAVING_US = 1_200_000;

    /** So long a candidate rests that found itself outside the newest roster. */
    private static final long BACKOFF_OUTSIDE_ROSTER_US = 3_000_000;

    private final MemberContext member;
    private final Membership membership;
    private final Replication replication;
    private Candidacy candidacy = Candidacy.none();

    /** The view whose head last handed over to this member. */
    private Ballot handedOver = Ballot.ZERO;

    /** Whether it has stood for election for want of a head before. */
    private boolean stoodBefore;

    ViewElection(MemberContext member, Membership membership, Replication replication) {
        this.member = member;
        this.membership = membership;
        this.replication = replication;
    }

    // ---- standing for election

    /**
     * A member that follows, or is idle, stands when it was without contact with a head for long
     * enough.
     */
    void tickWaiting() {
        var now = member.nowUs();
        var staggerUs = staggerUs();
        var timeoutUs =
                HeadContact.HEAD_TIMEOUT_US
                        + staggerUs
                        + (member.departure().isLeaving() ? EXTRA_DELAY_WHEN_LEAVING_US : 0);
        var notBeforeUs = member.contact().noElectionBeforeUs() + (stoodBefore ? 0 : staggerUs);
        if (member.disk().isFree()
                && now >= notBeforeUs
                && member.contact().silenceUs(now) > timeoutUs
                && member.state().roster().members().contains(member.address())) {
            stoodBefore = true;
            start();
        }
    }

    private long staggerUs() {
        var chain = member.view().chain();
        var members = chain.isEmpty() ? member.state().roster().members() : chain;
        var position = members.indexOf(member.address());
        return (position < 0 ? members.size() : position) * STAGGER_US;
    }

    void tickCandidate() {
        var now = member.nowUs();
        if (candidacy.ageUs(now) > CANDIDACY_TIMEOUT_US) {
            member.contact().presumeHeadLost(now);
            standDown(BACKOFF_AFTER_TIMEOUT_US + staggerUs());
            return;
        }
        tryForm();
    }

    /** Begins a candidacy; the disk must be free. */
    void start() {
        var ballot = member.nextBallot();
        var joining = member.isHead() ? membership.toJoin() : new TreeSet<String>();
        var isSuccessor = handedOver.equals(member.promised());
        member.departure().revokeRelease();
        member.become(MemberRole.CANDIDATE);
        candidacy =
                new Candidacy(
                        member.address(),
                        ballot,
                        member.nowUs(),
                        isSuccessor ? handedOver : Ballot.ZERO,
                        joining);
        member.persistPromise(
                ballot,
                () -> {
                    if (isCurrent(ballot)) {
                        candidacy.voteForSelf(member.accepted(), member.state());
                        ask(member.state().roster().members());
                        tryForm();
                    }
                });
    }

    private boolean isCurrent(Ballot ballot) {
        return member.is(MemberRole.CANDIDATE) && ballot.equals(candidacy.ballot());
    }

    private void ask(List<String> roster) {
        for (var address : candidacy.nextToAsk(roster, member.nowUs())) {
            member.send(
                    address,
                    new Prepare(
                            candidacy.ballot(),
                            member.accepted(),
                            member.state().edition(),
                            candidacy.handedOver()));
        }
    }

    private void standDown(long backoffUs) {
        member.contact().noElectionBefore(member.nowUs() + backoffUs);
        member.become(MemberRole.IDLE);
    }

    // ---- answers

    void onMessage(String from, ElectionMessage message) {
        if (message instanceof PromiseRejected rejected) {
            onPromiseRejected(from, rejected);
        } else if (message instanceof LearnerOffer offer) {
            onLearnerOffer(from, offer);
        } else if (message instanceof Promise promise) {
            onPromise(from, promise);
        } else if (message instanceof HeadHandover handover) {
            member.disk().whenFree(() -> onHeadHandover(handover));
        } else if (message instanceof BallotRejected rejected) {
            onBallotRejected(rejected);
        }
    }

    private void onPromiseRejected(String from, PromiseRejected rejected) {
        member.observeBallotNumber(rejected.promisedNumber());
        if (!isCurrent(rejected.ballot())) {
            return;
        }
        if (candidacy.isOnlyJoining(from)) {
            candidacy.dropJoining(from);
            tryForm();
            return;
        }
        standDown(BACKOFF_AFTER_REJECTION_US + staggerUs());
    }

    private void onLearnerOffer(String from, LearnerOffer offer) {
        if (isCurrent(offer.ballot())) {
            candidacy.onLearnerOffer(from, offer);
            tryForm();
        }
    }

    private void onPromise(String from, Promise promise) {
        if (isCurrent(promise.ballot())) {
            candidacy.onPromise(from, promise);
            tryForm();
        }
    }

    /** Someone in the chain that this member formed has promised a higher ballot. */
    private void onBallotRejected(BallotRejected rejected) {
        member.observeBallotNumber(rejected.promisedNumber());
        if (rejected.ballot().equals(member.view().ballot())
                && (member.isHead() || member.is(MemberRole.ACTIVATING_VIEW))) {
            standDown(BACKOFF_AFTER_REJECTION_US);
        }
    }

    /** The head of this member's view leaves and names this member as the one to go on. */
    private void onHeadHandover(HeadHandover handover) {
        if (member.is(MemberRole.FOLLOWER)
                && member.holds(handover.ballot())
                && member.disk().isFree()) {
            handedOver = handover.ballot();
            start();
        }
    }

    // ---- forming the view

    private void tryForm() {
        if (!candidacy.hasOwnVote() || !member.disk().isFree()) {
            return;
        }
        var newest = candidacy.newest();
        var roster = newest.state().get().roster().members();
        ask(roster);
        if (!roster.contains(member.address())) {
            backOffOutsideRoster();
        } else if (candidacy.isDecided(roster, member.nowUs())) {
            form(newest);
        }
    }

    /**
     * A member that was removed while it was cut off cannot form a view, and each of its
     * candidacies takes back the promises that another candidate needs. It rests until a head tells
     * it more, or until what it found may have been a roster that never came into force.
     */
    private void backOffOutsideRoster() {
        standDown(BACKOFF_OUTSIDE_ROSTER_US);
    }

    private void form(Candidacy.Vote newest) {
        var state = newest.state().get();
        var chain = candidacy.chain(state.roster().members(), member.proximity());
        member.view().form(candidacy.ballot(), chain, candidacy.learnersOf(chain), member.nowUs());
        member.become(MemberRole.ACTIVATING_VIEW);
        membership.onViewFormed(candidacy.leaving());
        replication.openView(state, newest.accepted(), candidacy.holdersOf(newest));
    }
}
